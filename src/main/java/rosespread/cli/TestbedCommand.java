package rosespread.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rosespread.scenario.OpenSite;
import rosespread.scenario.ScenarioException;

/** Stand-ins for conductors that were started by hand. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description =
                "Stand-ins of nodes, list, proxies and clients, for a conductor started by hand.",
        subcommands = {TestbedCommand.Site.class, TestbedCommand.SettingsText.class},
        footer = {
            "",
            "Example: rosespread standin settings quiet-day |"
                    + " curl -X PUT -d @- 127.0.0.1:7401/v1/settings"
        })
final class TestbedCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** What both subcommands take. */
    abstract static class Common implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "A scenario that ships, or a file.")
        private String scenario;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Draws the day (${DEFAULT-VALUE}).")
        private long seed;

        @Option(
                names = "--list-port",
                defaultValue = "8500",
                description = "Where the server list answers (${DEFAULT-VALUE}).")
        private int listPort;

        @Spec private CommandSpec spec;

        abstract void run(String name, long from, int port, PrintStream out) throws Exception;

        @Override
        public Integer call() throws Exception {
            if (listPort < 1 || listPort > 65_535) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--list-port " + listPort + " is not from 1 to 65535");
            }
            try {
                run(scenario, seed, listPort, System.out);
                return 0;
            } catch (ScenarioException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 2;
            }
        }
    }

    @Command(
            name = "site",
            mixinStandardHelpOptions = true,
            description =
                    "Runs nodes and list; with conductors, proxies and clients too, for a day.",
            footer = {"", "Example: rosespread standin site quiet-day --conductor 127.0.0.1:7400"})
    static final class Site extends Common {
        @Option(
                names = "--conductor",
                converter = AddressConverter.class,
                description = "Where proxies dial; may be given several times.")
        private List<InetSocketAddress> conductors = List.of();

        @Override
        void run(String name, long from, int port, PrintStream out) throws Exception {
            OpenSite.run(name, from, port, conductors, out);
        }
    }

    @Command(
            name = "settings",
            mixinStandardHelpOptions = true,
            description = "Prints the settings for a conductor of this site.",
            footer = {"", "Example: rosespread standin settings quiet-day --list-port 8500"})
    static final class SettingsText extends Common {
        @Override
        void run(String name, long from, int port, PrintStream out) throws Exception {
            out.println(OpenSite.settings(name, from, port));
        }
    }
}
