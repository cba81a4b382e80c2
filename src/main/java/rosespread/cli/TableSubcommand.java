package rosespread.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import rosespread.fleet.FleetResponse;

/** A command on one controller's tables. */
abstract class TableSubcommand implements Callable<Integer> {
    @Mixin private ControlOptions options;
    @Spec private CommandSpec spec;

    /**
     * Does the command's work.
     *
     * @return one of {@link ExitCodes}
     * @throws IOException if the controller does not respond
     */
    abstract int run() throws IOException;

    @Override
    public final Integer call() throws IOException {
        int exitCode = run();
        out().flush();
        err().flush();
        return exitCode;
    }

    final FleetResponse get(String path) throws IOException {
        return options.send("GET", path);
    }

    /** All tables as the controller reports them, with their entries and versions. */
    final JsonNode tables() throws IOException {
        return get("/v1/tables").body();
    }

    final FleetResponse post(String path) throws IOException {
        return options.send("POST", path);
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
}
