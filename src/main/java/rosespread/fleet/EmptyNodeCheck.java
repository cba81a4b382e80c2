package rosespread.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides from controllers' node lists whether a drained node receives no traffic any more: every
 * controller drains it, no proxy reported an attempt during the quiet period, and no proxy's report
 * is overdue, since such a proxy may go on sending unseen.
 *
 * @param node the node's name, or NAME@HOST:PORT where several nodes share a name
 * @param quietPeriod how long no attempt may have been reported
 */
public record EmptyNodeCheck(String node, Duration quietPeriod) {
    /**
     * Judges responses to {@code GET /v1/nodes}. A controller that does not list the node blocks
     * nothing.
     *
     * @return what stands against the node being empty, in the responses' order; empty if it is
     *     known to be empty
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
        OptionalLong agoMillis = listed.lastAttemptAgoMillis();
        if (agoMillis.isPresent() && agoMillis.getAsLong() < quietPeriod.toMillis()) {
            return Optional.of(new DrainBlocker.RecentAttempt(address, agoMillis.getAsLong()));
        }
        int overdue = listed.proxiesWithoutReport();
        return overdue > 0
                ? Optional.of(new DrainBlocker.OverdueReports(address, overdue))
                : Optional.empty();
    }
}
