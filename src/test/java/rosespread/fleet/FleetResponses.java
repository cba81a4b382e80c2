package rosespread.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;

/** Responses of controllers on 10.0.0.1, as the package's tests need them. */
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

    /** A response with status 200; the port tells controllers apart. */
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
