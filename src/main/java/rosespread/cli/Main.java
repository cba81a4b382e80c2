package rosespread.cli;

import java.io.IOException;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import rosespread.adapter.MalformedBatchException;
import rosespread.adapter.SimulatorAdapter;

/** The program: one subcommand a job. */
@Command(
        name = "rosespread",
        mixinStandardHelpOptions = true,
        version = "rosespread 0.1.0",
        description = "A central planner behind plain proxies.",
        synopsisSubcommandLabel = "SUBCOMMAND",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done; for a rehearsal, all rules kept",
            "1:it failed while running",
            "2:bad input, named with its place",
            "3:a rehearsal broke a rule"
        },
        footer = {"", "Example: rosespread rehearse bad-day --seed 7"},
        subcommands = {
            Main.AdapterCommand.class,
            ServeCommand.class,
            ConductorCommand.class,
            TableCommand.class,
            FleetCommand.class,
            AuditCommand.class,
            StandinCommand.class,
            RehearseCommand.class
        })
public final class Main {
    private Main() {}

    /**
     * The adapter and serve are started often and by programs, so they go past the reading of
     * arguments.
     */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(adapter());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(ServeCommand.serve());
        }
        System.exit(run(args));
    }

    static int run(String... args) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
    }

    static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine line = new CommandLine(new Main());
        line.setOut(out);
        line.setErr(err);
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler(
                (e, command, parsed) -> {
                    command.getErr().println(command.getCommandName() + ": " + e.getMessage());
                    return 1;
                });
        if (args.length == 0) {
            line.usage(err);
            return 2;
        }
        return line.execute(args);
    }

    private static int adapter() {
        try {
            new SimulatorAdapter(System.in, System.out).run();
            return 0;
        } catch (MalformedBatchException | IOException e) {
            System.err.println("rosespread adapter: " + e.getMessage());
            return 1;
        }
    }

    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            description =
                    "Decides on the simulator's wire, from standard input to standard output.",
            footer = {"", "Example: rosespread adapter < batches > replies"})
    static final class AdapterCommand implements java.util.concurrent.Callable<Integer> {
        @Override
        public Integer call() {
            return adapter();
        }
    }
}
