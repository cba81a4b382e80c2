package rosespread.cli;

import java.net.InetSocketAddress;
import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rosespread.fleet.Fleet;

/** Options of every command on a fleet: controllers, operator, time-out and output format. */
final class FleetOptions {
    private static final int MAX_TIMEOUT_SECONDS = 600;

    @Option(
            names = "--fleet",
            split = ",",
            converter = AddressConverter.class,
            paramLabel = "ADDRESS",
            required = true,
            description = "The controllers' admin addresses, separated by commas.")
    private List<InetSocketAddress> addresses;

    @Option(
            names = "--as",
            defaultValue = "${sys:user.name}",
            paramLabel = "NAME",
            description = "Operator's name in the audit log (${DEFAULT-VALUE}).")
    private String operator;

    @Option(
            names = "--timeout",
            defaultValue = "3",
            paramLabel = "SECONDS",
            description = "Time-out of one request (${DEFAULT-VALUE}).")
    private double timeoutSeconds;

    @Option(names = "--json", description = "Prints the responses as JSON.")
    private boolean json;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    /**
     * Creates a client of the controllers, which the caller closes.
     *
     * @throws ParameterException if the timeout is not allowed
     */
    Fleet connect() {
        if (!(timeoutSeconds > 0 && timeoutSeconds <= MAX_TIMEOUT_SECONDS)) {
            throw new ParameterException(
                    command.commandLine(),
                    "--timeout is "
                            + timeoutSeconds
                            + "; allowed: over 0 to "
                            + MAX_TIMEOUT_SECONDS);
        }
        return new Fleet(addresses, operator, Seconds.toDuration(timeoutSeconds).toNanos());
    }

    boolean isJson() {
        return json;
    }
}
