package rosespread.cli;

import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rosespread.fleet.DrainBlocker;
import rosespread.fleet.EmptyNodeCheck;
import rosespread.fleet.Fleet;

/** Drains a node at all controllers and, if asked to, waits until it receives no traffic. */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description =
                "Removes a node from all tables until it is undrained or leaves the endpoint list.",
        footer = {"", "Example: rosespread fleet drain node-3 --fleet 127.0.0.1:7401 --wait 10"})
final class FleetDrainCommand extends FleetNodeCommand {
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(2);
    private static final long POLL_MILLIS = 200;

    @Option(
            names = "--force",
            description = "Bypasses the guard against draining too much capacity.")
    private boolean force;

    @Option(
            names = "--wait",
            paramLabel = "SECONDS",
            description =
                    "How long to wait until no controller gets reports of attempts at the node.")
    private Double waitSeconds;

    @Override
    int run(Fleet fleet) throws InterruptedException {
        int exitCode = change(fleet, "drain", force ? "?force=true" : "");
        if (exitCode != ExitCodes.DONE || waitSeconds == null) {
            return exitCode;
        }
        return awaitEmpty(fleet);
    }

    private int awaitEmpty(Fleet fleet) throws InterruptedException {
        EmptyNodeCheck check = new EmptyNodeCheck(node(), QUIET_PERIOD);
        long startNanos = System.nanoTime();
        long deadlineNanos = startNanos + Seconds.toDuration(waitSeconds).toNanos();
        List<DrainBlocker> blockers;
        do {
            blockers = check.blockers(fleet.request("GET", "/v1/nodes", ""));
            if (blockers.isEmpty()) {
                double seconds = Seconds.ofNanos(System.nanoTime() - startNanos);
                out().printf("%s is empty after %.1f s%n", node(), seconds);
                return ExitCodes.DONE;
            }
            Thread.sleep(POLL_MILLIS);
        } while (deadlineNanos - System.nanoTime() > 0);
        blockers.forEach(blocker -> err().println("not known to be empty: " + blocker.describe()));
        return ExitCodes.PARTLY_DONE;
    }
}
