package rosespread.scenario;

import java.util.List;
import java.util.Locale;
import rosespread.testbed.SiteDefinition;

/**
 * A scripted run of load and faults against a site. Clients send load during the warm-up and the
 * measurement; times count from the end of the warm-up.
 *
 * @param durationNanos length of the measurement, without the warm-up
 * @param controllerCount number of controllers, each in a process of its own
 * @param requestsPerSecond total rate of all clients
 * @param listDelayNanos how long after a change the endpoint list shows the change
 * @param healthChecksAllowed whether controllers may send health checks to nodes
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
     * Behaviour of the clients.
     *
     * @param retries the maximum number of retries of an RPC by its client
     * @param deadlineRatio the fraction of a method's deadline for which a client waits for the
     *     result of an attempt
     */
    record Clients(int retries, long retryDelayNanos, double deadlineRatio) {}

    /**
     * Time limits that controllers must keep; the invariants check them.
     *
     * @param noEndpointNanos how long a proxy may have no weight entry to pick for a method
     * @param drainTimeoutNanos how long a proxy may send to a draining node
     */
    record Limits(long noEndpointNanos, long drainTimeoutNanos) {}

    /**
     * Limits on the messages of controllers.
     *
     * @param entriesPerSecond rate of one controller to all its proxies together, in weight entries
     *     per second
     * @param entriesPerMessage the overhead of a message, in entries
     * @param queueLimit the maximum number of entries that wait for a controller's channel
     * @param messageLimit the maximum number of messages to a proxy within {@code
     *     messageWindowNanos}; 0 for no limit
     * @param actionCost cost of an action for a controller, in the unit of the controller's
     *     settings
     */
    record Channel(
            double entriesPerSecond,
            double entriesPerMessage,
            double queueLimit,
            int messageLimit,
            long messageWindowNanos,
            AdmissionMode admissionMode,
            double actionCost) {}

    /** Unit of the admission limits of proxies. The names are read from scenario files. */
    enum AdmissionMode {
        /** The fraction of RPCs that is admitted, 0 to 1. */
        SHARE,
        /** RPCs per second. */
        RATE,
        /** Proxies do not support admission limits. */
        NONE;

        /** The name in scenario files and in settings. */
        String yamlName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * The settings given to each controller of this scenario, as an operator would give them.
     *
     * @param peers addresses of the control APIs of all controllers, as {@code host:port}
     */
    String settings(long seed, int listPort, List<String> peers) {
        return new ControllerSettingsWriter(this).write(seed, listPort, peers);
    }
}
