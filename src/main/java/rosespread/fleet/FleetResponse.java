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
        InetSocketAddress conductor, int status, JsonNode body, String detail, boolean ran) {
    public boolean isOk() {
        return status == 200;
    }

    /** The conductor as the operator named it. */
    public String address() {
        return conductor.getHostString() + ":" + conductor.getPort();
    }
}
