package rosespread.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import rosespread.testbed.SiteDefinition;

/**
 * A scripted day; times in nanoseconds. Load runs for {@code warmUp} before the day, which counts
 * from its end.
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

    record Clients(int retries, long retryDelayNanos, double deadlineRatio) {}

    record Limits(long noEndpointNanos, long drainTimeoutNanos) {}

    record Channel(
            double entriesPerSecond,
            double entriesPerMessage,
            double queueLimit,
            int messageLimit,
            long messageWindowNanos,
            String admissionMode,
            double actionCost) {}

    private static final double MILLI = 1e6;

    /** The settings that a conductor of this day is given, as an operator would. */
    String settings(long seed, int listPort, List<String> peers) {
        ObjectNode all = JsonNodeFactory.instance.objectNode();
        all.put("seed", seed);
        peers.forEach(all.putArray("peers")::add);
        site.zones().forEach(all.putArray("zones")::add);
        site.machineTypes().keySet().forEach(all.putArray("kinds")::add);
        ArrayNode methods = all.putArray("methods");
        for (SiteDefinition.Method method : site.methods()) {
            ObjectNode one =
                    methods.addObject()
                            .put("name", method.name())
                            .put("criticality", method.priorityWeight());
            method.machineTypes().forEach(one.putArray("onlyKinds")::add);
        }
        all.putObject("list")
                .put("port", listPort)
                .put("service", "nodes")
                .put("waitMs", 5000)
                .put("silentAfterMs", 1500);
        all.putObject("probes").put("allowed", healthChecksAllowed);
        all.put("levels", channel.admissionMode());
        all.putObject("channel")
                .put("linesPerSecond", channel.entriesPerSecond())
                .put("linesPerMessage", channel.entriesPerMessage())
                .put("queueLimit", channel.queueLimit())
                .put("orderPrice", channel.actionCost())
                .put("messageLimit", channel.messageLimit())
                .put("messageSpanMs", channel.messageWindowNanos() / MILLI)
                .put("longestWayMs", site.proxies().maxDelayNanos() / MILLI);
        all.put("reportPeriodMs", site.reportPeriodNanos() / MILLI);
        all.put("drainGraceMs", limits.drainTimeoutNanos() / MILLI);
        all.putObject("cold")
                .put("timeMs", site.warmUp().durationNanos() / MILLI)
                .put("share", site.warmUp().initialRatio())
                .put("windowMs", site.warmUp().windowNanos() / MILLI);
        return all.toString();
    }
}
