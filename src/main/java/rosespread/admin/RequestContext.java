package rosespread.admin;

import java.util.Optional;
import java.util.regex.Pattern;
import rosespread.http.HttpHeaders;

/**
 * The operator of a request and the conditions under which the request takes effect.
 *
 * @param operator from {@code x-operator}, "unnamed" without it; not authenticated
 * @param idempotencyKey from {@code idempotency-key}, generated without it; requests with the same
 *     key take effect once
 * @param keyGiven whether the client gave the idempotency key
 * @param expectedRevision from {@code if-match}, the revision that must still be in force; {@link
 *     #ANY_REVISION} without it or with {@code *}
 */
record RequestContext(
        String operator, String idempotencyKey, boolean keyGiven, long expectedRevision) {
    static final long ANY_REVISION = -1;

    private static final String UNNAMED = "unnamed";
    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,64}");
    private static final Pattern REVISION = Pattern.compile("\\*|\"?[0-9]{1,18}\"?");

    /**
     * Reads the headers of a request.
     *
     * @param generatedKey the idempotency key of a request without that header
     * @throws IllegalArgumentException if a header is malformed; the message names it
     */
    static RequestContext of(HttpHeaders headers, String generatedKey) {
        String operator = headers.first("x-operator").orElse(UNNAMED);
        String key = headers.first("idempotency-key").orElse(generatedKey);
        Optional<String> revision = headers.first("if-match");
        requireToken("x-operator", operator);
        requireToken("idempotency-key", key);
        return new RequestContext(
                operator,
                key,
                headers.first("idempotency-key").isPresent(),
                revision.map(RequestContext::parseRevision).orElse(ANY_REVISION));
    }

    private static void requireToken(String header, String value) {
        if (!TOKEN.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "header "
                            + header
                            + " is \""
                            + value
                            + "\", expected 1 to 64 visible ASCII characters");
        }
    }

    private static long parseRevision(String value) {
        if (!REVISION.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "header if-match is " + value + ", expected a revision number or *");
        }
        return value.equals("*") ? ANY_REVISION : Long.parseLong(value.replace("\"", ""));
    }
}
