package rosespread.cli;

import picocli.CommandLine.Command;

/** Groups the subcommands on the settings of several controllers. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description = "Shows, compares and applies settings.",
        subcommands = {
            FleetSettingsShowCommand.class,
            FleetSettingsDiffCommand.class,
            FleetSettingsApplyCommand.class
        })
final class FleetSettingsCommand extends CommandGroup {}
