package rosespread.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rosespread.scenario.ScenarioException;
import rosespread.scenario.StandaloneSite;

/**
 * Runs a scenario's fakes for the scenario's duration or, without controllers, until the process is
 * stopped.
 */
@Command(
        name = "site",
        mixinStandardHelpOptions = true,
        description =
                "Runs nodes and endpoint list until stopped. With controller addresses, also runs"
                        + " proxies and clients, and ends after the scenario's duration.",
        footer = {"", "Example: rosespread testbed site quiet-day --conductor 127.0.0.1:7400"})
final class TestbedSiteCommand extends TestbedSubcommand {
    @Option(
            names = "--conductor",
            converter = AddressConverter.class,
            paramLabel = "<conductors>",
            description = "Address that proxies connect to; may be given several times.")
    private List<InetSocketAddress> controllers = List.of();

    @Override
    void run(TestbedOptions arguments) throws IOException, ScenarioException, InterruptedException {
        StandaloneSite.run(
                arguments.scenario(),
                arguments.seed(),
                arguments.listPort(),
                controllers,
                System.out);
    }
}
