package rosespread.cli;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import picocli.CommandLine;

/**
 * Former names of subcommands. Each goes on working as a hidden subcommand with the same options,
 * output and exit codes, so that scripts need not change at once; the program only says on standard
 * error which name is the current one.
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

    /** Adds all former names to the program's command line; they stay out of its help. */
    static void addTo(CommandLine program) {
        for (FormerNames name : values()) {
            CommandLine command = new CommandLine(name.newCommand.get());
            command.getCommandSpec().name(name.formerName).usageMessage().hidden(true);
            program.addSubcommand(name.formerName, command);
        }
    }

    /** The former name by which a subcommand is called, empty if it is called by a current one. */
    static Optional<FormerNames> usedIn(String... args) {
        return Arrays.stream(values())
                .filter(name -> args.length > 0 && name.formerName.equals(args[0]))
                .findFirst();
    }

    /** The one line for standard error, without its end. */
    String notice() {
        return "rosespread: '"
                + formerName
                + "' is a former name; the current one is '"
                + currentName
                + "'";
    }
}
