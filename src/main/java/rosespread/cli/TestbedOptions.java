package rosespread.cli;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Arguments of every testbed command: scenario, seed and the endpoint list's port. */
final class TestbedOptions {
    private static final int MAX_PORT = 65_535;

    @Parameters(
            paramLabel = "SCENARIO",
            description = "The name of an included scenario, or the path of a file.")
    private String scenario;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of the random choices (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--list-port",
            defaultValue = "8500",
            description = "Port of the endpoint list (${DEFAULT-VALUE}).")
    private int listPort;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    /**
     * Checks the port's range, which picocli does not check.
     *
     * @throws ParameterException if the port is not allowed
     */
    void validate() {
        if (listPort < 1 || listPort > MAX_PORT) {
            throw new ParameterException(
                    command.commandLine(),
                    "--list-port is " + listPort + "; allowed: 1 to " + MAX_PORT);
        }
    }

    /** The name of a scenario included in the program, or the path of a file. */
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
