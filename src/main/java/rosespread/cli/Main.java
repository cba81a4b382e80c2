package rosespread.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program, with one subcommand per task. */
@Command(
        name = "rosespread",
        mixinStandardHelpOptions = true,
        version = "rosespread 0.1.0",
        description = "A control plane behind plain proxies.",
        synopsisSubcommandLabel = "SUBCOMMAND",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done; for a scenario, all invariants held",
            "1:the command failed while it ran",
            "2:bad input; the message names its place",
            "3:a scenario violated an invariant"
        },
        footer = {"", "Example: rosespread scenario bad-day --seed 7"},
        subcommands = {
            AdapterCommand.class,
            ServeCommand.class,
            ControllerCommand.class,
            TableCommand.class,
            FleetCommand.class,
            AuditCommand.class,
            TestbedCommand.class,
            ScenarioCommand.class
        })
public final class Main {
    private Main() {}

    /**
     * Runs the subcommand that the arguments name and ends the process with its exit code.
     *
     * <p>Programs start {@code adapter} and {@code serve} often; without further arguments both are
     * called directly, which saves the time and memory that picocli takes.
     *
     * @param args the subcommand and its arguments
     */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(AdapterCommand.adapt());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(ServeCommand.serve());
        }
        System.exit(run(args));
    }

    private static int run(String... args) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
    }

    /**
     * Runs a subcommand within this process.
     *
     * @param out replaces standard output
     * @param err replaces standard error
     * @return one of {@link ExitCodes}
     */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine program = program(out, err);
        if (args.length == 0) {
            program.usage(err);
            return ExitCodes.BAD_INPUT;
        }
        FormerNames.usedIn(args).ifPresent(name -> err.println(name.notice()));
        return program.execute(args);
    }

    /**
     * Creates the command line. Its settings apply only to subcommands that were added before, so
     * the settings come last.
     */
    private static CommandLine program(PrintWriter out, PrintWriter err) {
        CommandLine program = new CommandLine(new Main());
        FormerNames.addTo(program);
        program.setOut(out);
        program.setErr(err);
        program.setCaseInsensitiveEnumValuesAllowed(true);
        program.setExecutionExceptionHandler(Main::printFailure);
        return program;
    }

    private static int printFailure(
            Exception failure, CommandLine command, CommandLine.ParseResult arguments) {
        command.getErr().println(command.getCommandName() + ": " + failure.getMessage());
        return ExitCodes.FAILED;
    }
}
