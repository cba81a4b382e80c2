package rosespread.scenario;

import java.util.List;
import java.util.Locale;
import rosespread.testbed.SiteDefinition;

/**
 * A scripted day. Load runs for the warm-up before the day, which counts from its end.
 *
 * @param controllerCount how many controllers there are, each a process of its own
 * @param requestsPerSecond of all clients together
 * @param listDelayNanos how late the endpoint list shows a change
 * @param healthChecksAllowed whether controllers may check nodes by themselves
 */
record Scenario(
        String name,
        long durationNanos,
        long warmUpNanos,
        int controllerCount,
        SiteDefinition site,
        double requestsPerSecond,
        Clients clients,
        Limits limits,
        Channel channel,
        long listDelayNanos,
        boolean healthChecksAllowed,
        List<Fault> faults) {

    /**
     * How clients behave.
     *
     * @param retries how often a client sends an RPC again at most
     * @param deadlineRatio the part of a method's deadline for which a client waits for an attempt
     */
    record Clients(int retries, long retryDelayNanos, double deadlineRatio) {}

    /**
     * Bounds on time of the contract.
     *
     * @param noEndpointNanos how long a proxy may lack an entry to pick
     * @param drainTimeoutNanos how long a proxy may send to a node that drains
     */
    record Limits(long noEndpointNanos, long drainTimeoutNanos) {}

    /**
     * What controllers may send.
     *
     * @param entriesPerSecond of one controller to all its proxies
     * @param entriesPerMessage the overhead of a message, in entries
     * @param queueLimit entries that may wait for a controller's channel
     * @param messageLimit messages to a proxy within the window; 0: any number
     * @param actionCost what an action costs a controller, as its settings take it
     */
    record Channel(
            double entriesPerSecond,
            double entriesPerMessage,
            double queueLimit,
            int messageLimit,
            long messageWindowNanos,
            AdmissionMode admissionMode,
            double actionCost) {}

    /** What proxies take admission limits for. The names are read from scenario files. */
    enum AdmissionMode {
        /** The share of RPCs that is admitted, 0 to 1. */
        SHARE,
        /** RPCs a second. */
        RATE,
        /** They know no limits. */
        NONE;

        /** The name in scenario files and in settings. */
        String yamlName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * The settings that a controller of this day is given, as an operator would.
     *
     * @param peers addresses of all controllers' control APIs, as {@code host:port}
     */
    String settings(long seed, int listPort, List<String> peers) {
        return new ControllerSettingsWriter(this).write(seed, listPort, peers);
    }
}
