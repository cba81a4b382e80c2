package rosespread.cli;

import picocli.CommandLine.Command;

/** Groups the subcommands that act on several controllers at once. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description =
                "Shows several controllers, drains nodes and applies settings at all of them.",
        subcommands = {
            FleetStatusCommand.class,
            FleetNodesCommand.class,
            FleetDrainCommand.class,
            FleetUndrainCommand.class,
            FleetSettingsCommand.class,
            FleetLogCommand.class
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done at all controllers",
            "1:done at no controller",
            "2:bad input",
            "4:done at some controllers; the same command can be repeated"
        },
        footer = {
            "",
            "Example: rosespread fleet drain node-3 --fleet 127.0.0.1:7401,127.0.0.1:7411"
                    + " --wait 10"
        })
final class FleetCommand extends CommandGroup {}
