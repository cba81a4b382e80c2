package rosespread.cli;

import picocli.CommandLine.Command;

/** Ends a pin or a rollback. */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        description = "Lets a held table follow the policy again, step by step.")
final class TableReleaseCommand extends TableChangeCommand {
    @Override
    String action() {
        return "release";
    }
}
