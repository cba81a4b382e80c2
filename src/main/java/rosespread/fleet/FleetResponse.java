package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;

/**
 * What one conductor answered.
 *
 * @param status of HTTP, 0 if no answer came; @param body null then; @param detail why not, in a
 *     sentence
 * @param ran whether the call may have been taken up
 */
public record FleetResponse(
        InetSocketAddress controller,
        int status,
        JsonNode body,
        String detail,
        boolean mayHaveRun) {
    public boolean isOk() {
        return status == 200;
    }

    /** The conductor as the operator named it. */
    public String address() {
        return controller.getHostString() + ":" + controller.getPort();
    }
}
