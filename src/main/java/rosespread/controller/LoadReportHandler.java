package rosespread.controller;

import java.util.List;
import rosespread.channel.Frame;
import rosespread.controller.ControllerCounters.Counter;

/**
 * Handles proxies' load reports: aggregates the entries for known nodes for the policy, records the
 * time of the last attempt at each node, and recognizes high failure ratios.
 *
 * <p>Used on the event-loop thread.
 */
final class LoadReportHandler {
    /**
     * Ratio of failed attempts to all attempts at a node in one load report; a higher ratio
     * justifies large changes of tables.
     */
    private static final double HIGH_FAILURE_RATIO = 0.3;

    /**
     * Minimum number of attempts at a node in one load report; with fewer, the failure ratio is not
     * significant and is ignored.
     */
    private static final int MIN_ATTEMPTS = 5;

    private final PolicyRunner policyRunner;
    private final NodeDirectory directory;
    private final NodeFacts facts;
    private final LoopContext context;

    LoadReportHandler(
            PolicyRunner policyRunner,
            NodeDirectory directory,
            NodeFacts facts,
            LoopContext context) {
        this.policyRunner = policyRunner;
        this.directory = directory;
        this.facts = facts;
        this.context = context;
    }

    void loadReported(ProxySession session, Frame.Sums report) {
        session.recordLoadReport(context.clock().nowNanos());
        List<Frame.Sum> known =
                report.sums().stream()
                        .filter(sum -> directory.known().containsKey(sum.node()))
                        .toList();
        int unknown = report.sums().size() - known.size();
        context.counters().add(Counter.UNKNOWN_NODE_REPORTS, unknown);
        for (Frame.Sum sum : known) {
            if (sum.tries() > 0) {
                directory.recordAttempt(sum.node(), context.clock().nowNanos());
            }
        }
        if (known.stream().anyMatch(LoadReportHandler::hasHighFailureRatio)) {
            facts.recordLargeChangeCause();
        }
        Frame.Sums usable = unknown == 0 ? report : new Frame.Sums(report.coversMicros(), known);
        policyRunner.loadReports().add(session.proxy(), session.zone(), usable);
    }

    private static boolean hasHighFailureRatio(Frame.Sum sum) {
        return sum.tries() >= MIN_ATTEMPTS && sum.unanswered() > HIGH_FAILURE_RATIO * sum.tries();
    }
}
