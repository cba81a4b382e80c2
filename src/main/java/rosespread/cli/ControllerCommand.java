package rosespread.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rosespread.admin.Daemon;
import rosespread.controller.Controller;
import rosespread.validation.TableChangeValidator;

/** Runs one controller on this project's own channel until the process is stopped. */
@Command(
        name = "controller",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Runs a controller. Until it has settings, it waits for a PUT of /v1/settings"
                        + " on the control address.",
        footer = {
            "",
            "Example: rosespread controller --name c1 --state ./c1 --listen 127.0.0.1:7400"
                    + " --control 127.0.0.1:7401"
        })
final class ControllerCommand implements Callable<Integer> {
    // The endpoint list knows controllers without a given name under this one.
    private static final String DEFAULT_NAME = "conductor";

    @Option(
            names = "--name",
            defaultValue = DEFAULT_NAME,
            description = "The controller's name towards the endpoint list (${DEFAULT-VALUE}).")
    private String name;

    @Option(
            names = "--state",
            required = true,
            description = "Folder that stores settings, tables and the audit log.")
    private Path state;

    @Option(
            names = "--listen",
            defaultValue = "127.0.0.1:7400",
            converter = AddressConverter.class,
            description = "Address that proxies connect to (${DEFAULT-VALUE}).")
    private InetSocketAddress listen;

    @Option(
            names = "--control",
            defaultValue = "127.0.0.1:7401",
            converter = AddressConverter.class,
            description = "Address of the control API (${DEFAULT-VALUE}).")
    private InetSocketAddress control;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Daemon.run(
                name,
                state,
                listen,
                control,
                Controller.ROUTING_POLICY,
                new TableChangeValidator());
        return ExitCodes.DONE;
    }
}
