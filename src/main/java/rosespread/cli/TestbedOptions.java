package rosespread.cli;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Arguments of every command on a testbed: the scenario, its seed, the endpoint list's port. */
final class TestbedOptions {
    private static final int MAX_PORT = 65_535;

    @Parameters(paramLabel = "SCENARIO", description = "A scenario that ships, or a file.")
    private String scenario;

    @Option(names = "--seed", defaultValue = "1", description = "Draws the day (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--list-port",
            defaultValue = "8500",
            description = "Where the server list answers (${DEFAULT-VALUE}).")
    private int listPort;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    /**
     * Checks what picocli does not.
     *
     * @throws ParameterException if the port is not allowed
     */
    void validate() {
        if (listPort < 1 || listPort > MAX_PORT) {
            throw new ParameterException(
                    command.commandLine(),
                    "--list-port " + listPort + " is not from 1 to " + MAX_PORT);
        }
    }

    /** The name of a scenario that ships with the program, or the path of a file. */
    String scenario() {
        return scenario;
    }

    long seed() {
        return seed;
    }

    int listPort() {
        return listPort;
    }
}
