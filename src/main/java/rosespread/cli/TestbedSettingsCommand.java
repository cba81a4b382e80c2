package rosespread.cli;

import java.io.IOException;
import picocli.CommandLine.Command;
import rosespread.scenario.ScenarioException;
import rosespread.scenario.StandaloneSite;

/** Prints, as JSON, the settings for a controller that runs with a scenario's fakes. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description = "Prints the settings for a controller of this scenario.",
        footer = {"", "Example: rosespread testbed settings quiet-day --list-port 8500"})
final class TestbedSettingsCommand extends TestbedSubcommand {
    @Override
    void run(TestbedOptions arguments) throws IOException, ScenarioException {
        System.out.println(
                StandaloneSite.settings(
                        arguments.scenario(), arguments.seed(), arguments.listPort()));
    }
}
