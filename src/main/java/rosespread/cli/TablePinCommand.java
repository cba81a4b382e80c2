package rosespread.cli;

import picocli.CommandLine.Command;

/** Holds a table at the version in use. */
@Command(
        name = "pin",
        mixinStandardHelpOptions = true,
        description = "Holds a table at the version in use.")
final class TablePinCommand extends TableChangeCommand {
    @Override
    String action() {
        return "pin";
    }
}
