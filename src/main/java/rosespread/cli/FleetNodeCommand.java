package rosespread.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine.Parameters;
import rosespread.fleet.Completion;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/** A command that changes one node at all controllers. */
abstract class FleetNodeCommand extends FleetSubcommand {
    @Parameters(
            paramLabel = "NODE",
            description = "The node's name, or name@host:port where several nodes have this name.")
    private String node;

    final String node() {
        return node;
    }

    /**
     * Sends the action to all controllers and prints each response.
     *
     * @param action the last segment of the resource's path
     * @param query the query with its question mark, or empty
     * @return one of {@link ExitCodes}
     */
    final int change(Fleet fleet, String action, String query) {
        String encodedNode = URLEncoder.encode(node, StandardCharsets.UTF_8);
        String path = "/v1/nodes/" + encodedNode + "/" + action + query;
        // All controllers get the same key, so that a controller does not repeat an action that it
        // has learned of from another one.
        String idempotencyKey = UUID.randomUUID().toString();
        List<FleetResponse> responses =
                fleet.request("POST", path, "", "idempotency-key", idempotencyKey);
        if (isJson()) {
            out().println(FleetJson.format(responses));
        } else {
            responses.forEach(this::print);
        }
        return ExitCodes.of(Completion.of(responses));
    }

    private void print(FleetResponse response) {
        if (response.isOk()) {
            out().println(
                            response.address()
                                    + ": done, revision "
                                    + response.body().path("revision"));
            return;
        }
        boolean unknown = !response.isReceived() && response.mayHaveRun();
        String prefix = unknown ? "may have taken effect: " : "";
        err().println(response.address() + ": " + prefix + response.detail());
    }
}
