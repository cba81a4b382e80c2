package rosespread.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Option;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/** Options of every command on one controller: its address and the output format. */
final class ControlOptions {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    @Option(
            names = "--control",
            defaultValue = "127.0.0.1:7401",
            converter = AddressConverter.class,
            description = "The controller's admin address (${DEFAULT-VALUE}).")
    private InetSocketAddress control;

    @Option(names = "--json", description = "Prints the response as JSON.")
    private boolean json;

    /**
     * Sends a request without a body to the controller, on a connection of its own.
     *
     * @param method the HTTP method
     * @param path the path with its query
     * @throws IOException if no response arrives in time
     */
    FleetResponse send(String method, String path) throws IOException {
        String operator = System.getProperty("user.name");
        try (Fleet fleet = new Fleet(List.of(control), operator, TIMEOUT.toNanos())) {
            FleetResponse response = fleet.request(control, method, path, "");
            if (!response.isReceived()) {
                throw new IOException(response.address() + ": " + response.detail());
            }
            return response;
        }
    }

    boolean isJson() {
        return json;
    }
}
