package rosespread.cli;

import java.util.List;
import rosespread.fleet.Completion;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/** A command that reads one resource from all controllers and prints it as text or JSON. */
abstract class FleetQueryCommand extends FleetSubcommand {
    private final String path;

    /**
     * Creates a command.
     *
     * @param path the resource's path in the control API
     */
    FleetQueryCommand(String path) {
        this.path = path;
    }

    /** Prints the responses as text, failures included. */
    abstract void print(List<FleetResponse> responses);

    @Override
    final int run(Fleet fleet) {
        List<FleetResponse> responses = fleet.request("GET", path, "");
        if (isJson()) {
            out().println(FleetJson.format(responses));
        } else {
            print(responses);
        }
        return ExitCodes.of(Completion.of(responses));
    }
}
