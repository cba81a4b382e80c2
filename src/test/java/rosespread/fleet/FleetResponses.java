package rosespread.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;

/** Creates responses of controllers at 10.0.0.1 for the tests of this package. */
final class FleetResponses {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FleetResponses() {}

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(text, e);
        }
    }

    /** Returns a response with status 200; the port identifies the controller. */
    static FleetResponse ok(int port, String body) {
        return FleetResponse.received(address(port), 200, json(body));
    }

    static FleetResponse missing(int port, String reason) {
        return FleetResponse.missing(address(port), reason, false);
    }

    private static InetSocketAddress address(int port) {
        return InetSocketAddress.createUnresolved("10.0.0.1", port);
    }
}
