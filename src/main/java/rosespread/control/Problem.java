package rosespread.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import rosespread.http.HttpMessage;

/** What is wrong with a call, as problem details (RFC 9457). */
final class Problem {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Problem() {}

    static HttpMessage.Answer of(int status, String title, String detail) {
        return answer(members(status, title, detail));
    }

    /** With sentences that say why, or what changed, each on its own. */
    static HttpMessage.Answer of(
            int status, String title, String detail, List<String> reasons, long revision) {
        ObjectNode members = members(status, title, detail);
        reasons.forEach(members.putArray("reasons")::add);
        members.put("revision", revision);
        return answer(members);
    }

    static ObjectNode members(int status, String title, String detail) {
        return JSON.createObjectNode()
                .put("type", "about:blank")
                .put("title", title)
                .put("status", status)
                .put("detail", detail);
    }

    static HttpMessage.Answer answer(ObjectNode members) {
        return HttpMessage.Answer.of(
                members.path("status").asInt(),
                "application/problem+json",
                members.toPrettyString() + "\n");
    }
}
