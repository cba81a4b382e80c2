package rosespread.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides from controllers' node lists whether a drained node no longer receives traffic: every
 * controller drains the node, no proxy reported an attempt during the quiet period, and no proxy's
 * report is overdue, because such a proxy may still send requests to the node.
 *
 * @param node the node's name, or NAME@HOST:PORT if several nodes share a name
 * @param quietPeriod the period before now in which no attempt may have been reported
 */
public record EmptyNodeCheck(String node, Duration quietPeriod) {
    /**
     * Evaluates responses to {@code GET /v1/nodes}. A controller that does not list the node causes
     * no blocker.
     *
     * @return the reasons why the node may still receive traffic, in the order of the responses;
     *     empty if the node is known to receive no traffic
     */
    public List<DrainBlocker> blockers(List<FleetResponse> responses) {
        List<DrainBlocker> blockers = new ArrayList<>();
        for (FleetResponse response : responses) {
            if (!response.isOk()) {
                blockers.add(new DrainBlocker.NoResponse(response.address(), response.detail()));
                continue;
            }
            NodeSummary.parseAll(response.body()).stream()
                    .filter(listed -> listed.isNamed(node))
                    .map(listed -> blocker(response.address(), listed))
                    .flatMap(Optional::stream)
                    .forEach(blockers::add);
        }
        return blockers;
    }

    private Optional<DrainBlocker> blocker(String address, NodeSummary listed) {
        if (listed.isReady()) {
            return Optional.of(new DrainBlocker.StillReady(address));
        }
        OptionalLong attemptAgoMillis = listed.lastAttemptAgoMillis();
        if (attemptAgoMillis.isPresent() && attemptAgoMillis.getAsLong() < quietPeriod.toMillis()) {
            return Optional.of(
                    new DrainBlocker.RecentAttempt(address, attemptAgoMillis.getAsLong()));
        }
        int overdueProxies = listed.proxiesWithoutReport();
        return overdueProxies > 0
                ? Optional.of(new DrainBlocker.OverdueReports(address, overdueProxies))
                : Optional.empty();
    }
}
