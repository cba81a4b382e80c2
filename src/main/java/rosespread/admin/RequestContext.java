package rosespread.admin;

import java.util.Optional;
import rosespread.http.HttpMessage;

/**
 * Who makes a call, for which act, and against which revision.
 *
 * @param who as {@code x-operator} says; not proved
 * @param id from {@code idempotency-key}; one of its own if the call brings none
 * @param revision from {@code if-match}; -1 for any
 */
record RequestContext(String operator, String idempotencyKey, long expectedRevision) {
    private static final String NAME = "[\\x21-\\x7e]{1,64}";

    /**
     * @throws IllegalArgumentException if a header is not what it may be; the message names it
     */
    static RequestContext of(HttpMessage.Request call, String ownId) {
        String who = call.headers().first("x-operator").orElse("unnamed");
        String id = call.headers().first("idempotency-key").orElse(ownId);
        Optional<String> match = call.headers().first("if-match");
        if (!who.matches(NAME)) {
            throw new IllegalArgumentException(
                    "header x-operator is not 1 to 64 visible characters");
        }
        if (!id.matches(NAME)) {
            throw new IllegalArgumentException(
                    "header idempotency-key is not 1 to 64 visible characters");
        }
        if (match.isPresent() && !match.get().matches("\\*|\"?[0-9]{1,18}\"?")) {
            throw new IllegalArgumentException(
                    "header if-match is " + match.get() + ", not a revision as a number or *");
        }
        return new RequestContext(
                who,
                id,
                match.isEmpty() || match.get().equals("*")
                        ? -1
                        : Long.parseLong(match.get().replace("\"", "")));
    }
}
