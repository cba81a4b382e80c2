package rosespread.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Returns a table to an earlier version and holds it there. */
@Command(
        name = "rollback",
        mixinStandardHelpOptions = true,
        description =
                "Commits the weight entries of a stored version as the newest version and holds the"
                        + " table.",
        footer = {"", "Example: rosespread table rollback 1 42"})
final class TableRollbackCommand extends TableChangeCommand {
    @Parameters(paramLabel = "VERSION", index = "1")
    private long version;

    @Override
    String action() {
        return "rollback?version=" + version;
    }
}
