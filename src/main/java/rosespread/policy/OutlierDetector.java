package rosespread.policy;

import java.util.List;
import rosespread.api.PolicyEvent;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Ejects nodes whose failure ratio stands out from the others' and readmits them once they answer
 * again. If most of a table's capacity is ejected, all its nodes count as healthy (panic).
 */
final class OutlierDetector {
    /** Time constant over which evidence of health decays. */
    static final long HEALTH_WINDOW_NANOS = 3 * TimeUnits.SECOND;

    /** Attempts that suffice to judge a node. */
    private static final double MIN_ATTEMPTS_TO_EJECT = 7;

    private static final double MIN_ATTEMPTS_TO_READMIT = 2;

    /** Failure ratio from which a node may be ejected. */
    private static final double MIN_FAILURE_RATIO = 0.35;

    /** The same for a node that is busy and answers: it is overloaded. */
    private static final double MIN_FAILURE_RATIO_BUSY = 0.9;

    /** A node stands out by this multiple of the others' failure ratio and so much more. */
    private static final double OTHERS_MULTIPLE = 2;

    private static final double OTHERS_MARGIN = 0.15;

    /** Part of a table's capacity that may be ejected; if more is, all nodes count as healthy. */
    private static final double PANIC_THRESHOLD = 0.5;

    /** An ejected node keeps this part of its weight, so that its answers can be seen. */
    private static final double EJECTED_WEIGHT = 0.02;

    /** Then it is tried with this part. */
    private static final double PROBATION_WEIGHT = 0.1;

    private static final long PROBATION_AFTER_NANOS = 4 * TimeUnits.SECOND;

    private final NodeRegistry nodes;
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final ReportWindows windows;

    OutlierDetector(
            NodeRegistry nodes,
            ShardRegistry shards,
            EligibleNodes eligible,
            ReportWindows windows) {
        this.nodes = nodes;
        this.shards = shards;
        this.eligible = eligible;
        this.windows = windows;
    }

    /** Judges each node against the others, then each table. */
    void evaluate(RoundContext round) {
        evaluateNodes(round);
        for (ShardTable table : shards.firstTables()) {
            evaluatePanic(table, round);
        }
    }

    /**
     * Guards against nodes that abort, hang or are lost before the list tells. One that is busy and
     * answers is overloaded: without it the others would be pushed over. It does harm if few RPCs
     * cost far more at one node; the weights of an ejected node remain.
     */
    private void evaluateNodes(RoundContext round) {
        long now = round.now();
        List<Node> ready = nodes.ready();
        double attempts = ready.stream().mapToDouble(node -> node.attempts(now)).sum();
        double failures = ready.stream().mapToDouble(node -> node.failures(now)).sum();
        long newestAnswer = ready.stream().mapToLong(Node::answeredAt).max().orElse(now);
        for (Node node : ready) {
            double others =
                    (failures - node.failures(now)) / Math.max(1, attempts - node.attempts(now));
            evaluate(node, others, busy(node, newestAnswer, now), round);
        }
    }

    private boolean busy(Node node, long newestAnswer, long now) {
        return windows.fresh(node, newestAnswer, now)
                && node.utilization().known(now)
                && node.utilization().perSecond(now) > LoadEstimator.BUSY_UTILIZATION;
    }

    private void evaluate(Node node, double others, boolean busy, RoundContext round) {
        long now = round.now();
        double outlier = Math.max(MIN_FAILURE_RATIO, OTHERS_MULTIPLE * others + OTHERS_MARGIN);
        double limit = busy ? Math.max(MIN_FAILURE_RATIO_BUSY, outlier) : outlier;
        double ratio = node.failureRatio(now);
        double attempts = node.attempts(now);
        if (!node.ejected() && attempts >= MIN_ATTEMPTS_TO_EJECT && ratio > limit) {
            node.eject(now);
            round.actions().report(new PolicyEvent.NodeEjected(node.id(), ratio, attempts, others));
        } else if (node.ejected() && attempts >= MIN_ATTEMPTS_TO_READMIT && ratio < outlier / 2) {
            node.readmit();
            double ejectedSeconds = TimeUnits.seconds(now - node.ejectedAt());
            round.actions()
                    .report(new PolicyEvent.NodeReadmitted(node.id(), ratio, ejectedSeconds));
        }
    }

    private void evaluatePanic(ShardTable table, RoundContext round) {
        List<Node> open = eligible.of(table, round.now());
        double ejected = open.stream().filter(Node::ejected).mapToDouble(Node::capacity).sum();
        double all = open.stream().mapToDouble(Node::capacity).sum();
        boolean panic = ejected > PANIC_THRESHOLD * all;
        if (panic != table.panicking()) {
            round.actions()
                    .report(new PolicyEvent.PanicModeChanged(table.id(), panic, ejected, all));
        }
        table.setPanicking(panic);
    }

    /** The part of its weight that a node's health leaves it in a table. */
    double weightRatio(Node node, ShardTable table, long now) {
        if (table.panicking() || !node.ejected()) {
            return 1;
        }
        return now - node.ejectedAt() < PROBATION_AFTER_NANOS ? EJECTED_WEIGHT : PROBATION_WEIGHT;
    }
}
