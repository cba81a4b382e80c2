package rosespread.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import rosespread.platform.PlatformController;

/** Runs one conductor on the platform. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs a conductor on the platform, told by ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY"
                        + " and the file that ROUTER_CONFIG names; see docs/platform.md.",
        footer = {"", "Example: ROUTER_CONFIG=config.json rosespread serve"})
final class ServeCommand implements Callable<Integer> {
    /** Started often and by a program, and short of memory: past the reading of arguments. */
    static int serve() {
        return PlatformController.serve(System.getenv());
    }

    @Override
    public Integer call() {
        return serve();
    }
}
