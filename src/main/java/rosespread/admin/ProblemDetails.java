package rosespread.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import rosespread.http.HttpMessage;

/** What is wrong with a call, as problem details (RFC 9457). */
final class ProblemDetails {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemDetails() {}

    static HttpMessage.Response of(int status, String title, String detail) {
        return answer(members(status, title, detail));
    }

    /** With sentences that say why, or what changed, each on its own. */
    static HttpMessage.Response of(
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

    static HttpMessage.Response answer(ObjectNode members) {
        return HttpMessage.Response.of(
                members.path("status").asInt(),
                "application/problem+json",
                members.toPrettyString() + "\n");
    }
}
