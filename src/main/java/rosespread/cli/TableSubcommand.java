package rosespread.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import picocli.CommandLine.Mixin;
import rosespread.fleet.FleetResponse;

/** A command on one controller's tables. */
abstract class TableSubcommand extends PrintingCommand {
    @Mixin private ControlOptions options;

    /**
     * Runs the command.
     *
     * @return one of {@link ExitCodes}
     * @throws IOException if the controller does not respond
     */
    @Override
    abstract int execute() throws IOException;

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
}
