package rosespread.platform;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;

/** Checks that no joined proxy holds a draining node after the drain timeout. */
final class DrainChecker {
    private final PolicySettings settings;
    private final FleetFindings findings;
    private final Map<NodeId, Long> drainingSince = new TreeMap<>();
    private final Set<String> reported = new HashSet<>();

    DrainChecker(PolicySettings settings, FleetFindings findings) {
        this.settings = settings;
        this.findings = findings;
    }

    void nodeReady(NodeId node) {
        drainingSince.remove(node);
    }

    void nodeDraining(NodeId node, long now) {
        drainingSince.putIfAbsent(node, now);
    }

    void check(Collection<SimulatedProxy> proxies, long now) {
        drainingSince.forEach(
                (node, since) -> {
                    if (now - since > settings.drainTimeoutNanos()) {
                        proxies.stream()
                                .filter(SimulatedProxy::isJoined)
                                .forEach(proxy -> check(proxy, node, since, now));
                    }
                });
    }

    private void check(SimulatedProxy proxy, NodeId node, long since, long now) {
        long lateNanos = now - Math.max(since, proxy.joinedNanos()) - settings.drainTimeoutNanos();
        if (lateNanos <= 0 || !proxy.sendsTo(node)) {
            return;
        }
        if (reported.add(proxy.id() + "/" + proxy.joinedNanos() + "/" + node)) {
            findings.addDrainTimeoutViolation(
                    "%s holds %s at %d ms, joined at %d ms, draining since %d ms"
                            .formatted(
                                    proxy.id(),
                                    node,
                                    now / FleetModel.MILLI,
                                    proxy.joinedNanos() / FleetModel.MILLI,
                                    since / FleetModel.MILLI));
        }
        findings.recordLateness(lateNanos);
    }
}
