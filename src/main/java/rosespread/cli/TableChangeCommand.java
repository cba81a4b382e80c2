package rosespread.cli;

import java.io.IOException;
import picocli.CommandLine.Parameters;
import rosespread.fleet.FleetResponse;

/** A command that changes which version of a table is in use. */
abstract class TableChangeCommand extends TableSubcommand {
    private static final String DONE = "done";
    private static final String NOT_STORED =
            "done, but not stored: a controller restart loses the change; see /v1/state";

    @Parameters(paramLabel = "TABLE", index = "0")
    private int table;

    /** Returns the last segment of the resource's path, with its query. */
    abstract String action();

    @Override
    final int execute() throws IOException {
        FleetResponse response = post("/v1/tables/" + table + "/" + action());
        String text = isJson() ? response.body().toPrettyString() : text(response);
        (response.isOk() ? out() : err()).println(text);
        return response.isOk() ? ExitCodes.DONE : ExitCodes.FAILED;
    }

    private static String text(FleetResponse response) {
        if (!response.isOk()) {
            return response.detail();
        }
        boolean stored = response.body().path("kept").asBoolean();
        return stored ? DONE : NOT_STORED;
    }
}
