package rosespread.cli;

import picocli.CommandLine.Command;

/** Groups the subcommands on one controller's tables and their versions. */
@Command(
        name = "table",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description =
                "Shows a controller's tables and their versions, pins tables and rolls them back.",
        subcommands = {
            TableListCommand.class,
            TableShowCommand.class,
            TableDiffCommand.class,
            TableRollbackCommand.class,
            TablePinCommand.class,
            TableReleaseCommand.class
        },
        footer = {"", "Example: rosespread table rollback 1 42 --control 127.0.0.1:7401"})
final class TableCommand extends CommandGroup {}
