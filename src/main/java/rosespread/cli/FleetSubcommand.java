package rosespread.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/** A command on several controllers; holds the connection for the time of the call. */
abstract class FleetSubcommand implements Callable<Integer> {
    @Mixin private FleetOptions options;
    @Spec private CommandSpec spec;

    /**
     * Does the command's work.
     *
     * @return one of {@link ExitCodes}
     * @throws IOException if standard input cannot be read
     * @throws InterruptedException if interrupted while waiting for the controllers
     */
    abstract int run(Fleet fleet) throws IOException, InterruptedException;

    @Override
    public final Integer call() throws IOException, InterruptedException {
        try (Fleet fleet = options.connect()) {
            int exitCode = run(fleet);
            out().flush();
            err().flush();
            return exitCode;
        }
    }

    final boolean isJson() {
        return options.isJson();
    }

    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    final PrintWriter err() {
        return spec.commandLine().getErr();
    }

    /** Prints a line to standard error for each response without success. */
    final void printFailures(Iterable<FleetResponse> responses) {
        for (FleetResponse response : responses) {
            if (!response.isOk()) {
                err().println(response.address() + ": " + response.detail());
            }
        }
    }
}
