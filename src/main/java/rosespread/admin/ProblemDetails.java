package rosespread.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import rosespread.http.HttpMessage;

/** Builds error responses in the problem details format (RFC 9457). */
final class ProblemDetails {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemDetails() {}

    /** Builds a response whose title is derived from its status. */
    static HttpMessage.Response of(int status, String detail) {
        return of(status, title(status), detail);
    }

    private static String title(int status) {
        return switch (status) {
            case 400 -> "Bad call";
            case 404 -> "Not found";
            case 405 -> "Wrong verb";
            case 409 -> "Not possible now";
            case 503 -> "Not available";
            default -> "Internal error";
        };
    }

    /**
     * Builds a response of status 405.
     *
     * @param allowed the methods that the path supports, as text
     */
    static HttpMessage.Response methodNotAllowed(String allowed, AdminRequest request) {
        return of(
                405,
                request.path()
                        + " supports only "
                        + allowed
                        + ", found "
                        + request.http().method());
    }

    static HttpMessage.Response of(int status, String title, String detail) {
        return response(members(status, title, detail));
    }

    /**
     * Builds a response that also lists each reason for the error and the revision in force.
     *
     * @param revision the revision in force
     */
    static HttpMessage.Response of(
            int status, String title, String detail, List<String> reasons, long revision) {
        ObjectNode members = members(status, title, detail);
        reasons.forEach(members.putArray("reasons")::add);
        members.put("revision", revision);
        return response(members);
    }

    /** Creates a problem details object with the standard members; the caller may add others. */
    static ObjectNode members(int status, String title, String detail) {
        return JSON.createObjectNode()
                .put("type", "about:blank")
                .put("title", title)
                .put("status", status)
                .put("detail", detail);
    }

    /** Builds a response from the members, which include its status. */
    static HttpMessage.Response response(ObjectNode members) {
        return HttpMessage.Response.of(
                members.path("status").asInt(),
                "application/problem+json",
                members.toPrettyString() + "\n");
    }
}
