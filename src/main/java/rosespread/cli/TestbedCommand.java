package rosespread.cli;

import picocli.CommandLine.Command;

/** Groups the subcommands that run fakes around controllers started by hand. */
@Command(
        name = "testbed",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description =
                "Fake nodes, endpoint list, proxies and clients, for a controller started by hand.",
        subcommands = {TestbedSiteCommand.class, TestbedSettingsCommand.class},
        footer = {
            "",
            "Example: rosespread testbed settings quiet-day |"
                    + " curl -X PUT -d @- 127.0.0.1:7401/v1/settings"
        })
final class TestbedCommand extends CommandGroup {}
