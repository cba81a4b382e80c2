package rosespread.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import rosespread.config.ConfigException;
import rosespread.platform.PlatformController;

/** Runs one controller on the platform. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs a controller on the platform, configured by ROUTER_NAME, ROUTER_LISTEN,"
                        + " ROUTER_DISCOVERY and the file that ROUTER_CONFIG names; see"
                        + " docs/platform.md.",
        footer = {"", "Example: ROUTER_CONFIG=config.json rosespread serve"})
final class ServeCommand implements Callable<Integer> {
    private static final int EXIT_OK = 0;
    private static final int EXIT_LISTEN_FAILED = 1;
    private static final int EXIT_BAD_CONFIGURATION = 2;

    /**
     * Runs until the process ends. {@link Main} calls this method without picocli, since a program
     * starts it often and with little memory.
     *
     * @return the exit code
     */
    static int serve() {
        try {
            PlatformController.serve(System.getenv());
            return EXIT_OK;
        } catch (ConfigException e) {
            return fail(EXIT_BAD_CONFIGURATION, e.getMessage());
        } catch (IOException e) {
            return fail(EXIT_LISTEN_FAILED, "cannot listen: " + e.getMessage());
        }
    }

    private static int fail(int exitCode, String problem) {
        System.err.println("rosespread serve: " + problem);
        return exitCode;
    }

    @Override
    public Integer call() {
        return serve();
    }
}
