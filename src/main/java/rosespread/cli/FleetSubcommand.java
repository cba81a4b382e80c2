package rosespread.cli;

import java.io.IOException;
import picocli.CommandLine.Mixin;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/** A command on several controllers; holds the connections for the time of the call. */
abstract class FleetSubcommand extends PrintingCommand {
    @Mixin private FleetOptions options;

    /**
     * Does the command's work.
     *
     * @param fleet the controllers; closed by the caller
     * @return one of {@link ExitCodes}
     * @throws IOException if standard input cannot be read
     * @throws InterruptedException if interrupted while waiting for the controllers
     */
    abstract int run(Fleet fleet) throws IOException, InterruptedException;

    @Override
    final int execute() throws IOException, InterruptedException {
        try (Fleet fleet = options.connect()) {
            return run(fleet);
        }
    }

    final boolean isJson() {
        return options.isJson();
    }

    /** Prints a line to standard error for a response without success, and nothing for others. */
    final void printFailure(FleetResponse response) {
        if (!response.isOk()) {
            err().println(response.address() + ": " + response.detail());
        }
    }
}
