package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.InetSocketAddress;

/**
 * The response of one controller, or the reason why no response was received.
 *
 * @param controller the control address that the request was sent to
 * @param status the HTTP status, {@link #NO_RESPONSE} if no response arrived
 * @param body the response's JSON document, a {@link MissingNode} if there is none; never null
 * @param detail the problem detail of an error response or the reason for a missing response, in a
 *     sentence; empty if there is neither
 * @param mayHaveRun whether the controller may have executed the request; false only if no
 *     connection was made
 */
public record FleetResponse(
        InetSocketAddress controller,
        int status,
        JsonNode body,
        String detail,
        boolean mayHaveRun) {
    /** The status of a request that got no response. */
    public static final int NO_RESPONSE = 0;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    static FleetResponse received(InetSocketAddress controller, int status, JsonNode body) {
        return new FleetResponse(controller, status, body, body.path("detail").asText(""), true);
    }

    static FleetResponse missing(InetSocketAddress controller, String reason, boolean mayHaveRun) {
        return new FleetResponse(
                controller, NO_RESPONSE, MissingNode.getInstance(), reason, mayHaveRun);
    }

    /** Returns whether the controller executed the request and reported success. */
    public boolean isOk() {
        return status == OK;
    }

    /** Returns whether the controller responded that the requested resource does not exist. */
    public boolean isNotFound() {
        return status == NOT_FOUND;
    }

    /** Returns whether a response arrived, regardless of its status. */
    public boolean isReceived() {
        return status != NO_RESPONSE;
    }

    /** Returns the control address as HOST:PORT, as the operator gave it. */
    public String address() {
        return Fleet.hostAndPort(controller);
    }
}
