package rosespread.cli;

import java.io.IOException;
import picocli.CommandLine.Mixin;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/** A command on several controllers; keeps the connections to them while it runs. */
abstract class FleetSubcommand extends PrintingCommand {
    @Mixin private FleetOptions options;

    /**
     * Runs the command.
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

    /** Prints a line to standard error if the response is not a success; otherwise nothing. */
    final void printFailure(FleetResponse response) {
        if (!response.isOk()) {
            err().println(response.address() + ": " + response.detail());
        }
    }
}
