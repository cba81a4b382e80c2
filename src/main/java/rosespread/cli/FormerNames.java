package rosespread.cli;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import picocli.CommandLine;

/**
 * Former names of subcommands. Each still works as a hidden subcommand with the same options,
 * output and exit codes, so that scripts need not change at once; the program also prints the
 * current name to standard error.
 */
enum FormerNames {
    /** Now {@link ControllerCommand}. */
    CONDUCTOR("conductor", "controller", ControllerCommand::new),
    /** Now {@link TestbedCommand}. */
    STANDIN("standin", "testbed", TestbedCommand::new),
    /** Now {@link ScenarioCommand}. */
    REHEARSE("rehearse", "scenario", ScenarioCommand::new);

    private final String formerName;
    private final String currentName;
    private final Supplier<Callable<Integer>> newCommand;

    FormerNames(String formerName, String currentName, Supplier<Callable<Integer>> newCommand) {
        this.formerName = formerName;
        this.currentName = currentName;
        this.newCommand = newCommand;
    }

    /** Adds all former names to the program's command line, hidden from its help. */
    static void addTo(CommandLine program) {
        for (FormerNames name : values()) {
            CommandLine command = new CommandLine(name.newCommand.get());
            command.getCommandSpec().name(name.formerName).usageMessage().hidden(true);
            program.addSubcommand(name.formerName, command);
        }
    }

    /** Returns the former name that the arguments use; empty if they use a current name. */
    static Optional<FormerNames> usedIn(String... args) {
        return Arrays.stream(values())
                .filter(name -> args.length > 0 && name.formerName.equals(args[0]))
                .findFirst();
    }

    /** Returns the line for standard error, without a line break. */
    String notice() {
        return "rosespread: '"
                + formerName
                + "' is a former name; the current one is '"
                + currentName
                + "'";
    }
}
