package rosespread.policy;

import java.util.List;
import rosespread.api.PolicyEvent;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Ejects nodes whose failure ratio is much higher than that of the other nodes, and readmits them
 * once they answer again. While the ejected fraction of a table's capacity is above the panic
 * threshold, all nodes of the table count as healthy (panic mode).
 */
final class OutlierDetector {
    /** Time constant with which a node's counts of attempts and failures decay. */
    static final long HEALTH_WINDOW_NANOS = 3 * TimeUnits.SECOND;

    /** Least number of recent attempts needed to eject a node, and to readmit it. */
    private static final double MIN_ATTEMPTS_TO_EJECT = 7;

    private static final double MIN_ATTEMPTS_TO_READMIT = 2;

    /** Failure ratio above which a node may be ejected. */
    private static final double MIN_FAILURE_RATIO = 0.35;

    /**
     * Failure ratio above which a busy node that answers may be ejected; higher than for other
     * nodes, as such a node is overloaded rather than failed.
     */
    private static final double MIN_FAILURE_RATIO_BUSY = 0.9;

    /**
     * A node is an outlier if its failure ratio is above this multiple of the other nodes' failure
     * ratio plus {@link #OTHERS_MARGIN}.
     */
    private static final double OTHERS_MULTIPLE = 2;

    private static final double OTHERS_MARGIN = 0.15;

    /** Fraction of a table's capacity that may be ejected; above it, all nodes count as healthy. */
    private static final double PANIC_THRESHOLD = 0.5;

    /** Fraction of its weight that an ejected node keeps, so that its answers can be observed. */
    private static final double EJECTED_WEIGHT = 0.02;

    /** Fraction of its weight that an ejected node gets on probation, which tests it with load. */
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

    /**
     * Ejects and readmits nodes by their failure ratio compared with that of the other nodes, then
     * starts or ends the panic mode of each table.
     */
    void evaluate(RoundContext round) {
        evaluateNodes(round);
        for (ShardTable table : shards.firstTables()) {
            evaluatePanic(table, round);
        }
    }

    /**
     * Ejects nodes that abort requests, hang or are lost, before the node list shows the failure. A
     * busy node that answers is overloaded, and ejecting it would overload the other nodes too. A
     * healthy node may be ejected if a few RPCs cost far more at that node than at others. An
     * ejected node keeps its weight entries.
     */
    private void evaluateNodes(RoundContext round) {
        long now = round.now();
        List<Node> ready = nodes.ready();
        double attempts = ready.stream().mapToDouble(node -> node.attempts(now)).sum();
        double failures = ready.stream().mapToDouble(node -> node.failures(now)).sum();
        long newestAnswer = ready.stream().mapToLong(Node::answeredAt).max().orElse(now);
        for (Node node : ready) {
            double othersFailureRatio =
                    (failures - node.failures(now)) / Math.max(1, attempts - node.attempts(now));
            evaluate(node, othersFailureRatio, busy(node, newestAnswer, now), round);
        }
    }

    private boolean busy(Node node, long newestAnswer, long now) {
        return windows.fresh(node, newestAnswer, now)
                && node.utilization().known(now)
                && node.utilization().perSecond(now) > LoadEstimator.BUSY_UTILIZATION;
    }

    private void evaluate(Node node, double othersFailureRatio, boolean busy, RoundContext round) {
        long now = round.now();
        double outlierThreshold =
                Math.max(MIN_FAILURE_RATIO, OTHERS_MULTIPLE * othersFailureRatio + OTHERS_MARGIN);
        double ejectionThreshold =
                busy ? Math.max(MIN_FAILURE_RATIO_BUSY, outlierThreshold) : outlierThreshold;
        double ratio = node.failureRatio(now);
        double attempts = node.attempts(now);
        if (!node.ejected() && attempts >= MIN_ATTEMPTS_TO_EJECT && ratio > ejectionThreshold) {
            node.eject(now);
            round.actions()
                    .report(
                            new PolicyEvent.NodeEjected(
                                    node.id(), ratio, attempts, othersFailureRatio));
        } else if (node.ejected()
                && attempts >= MIN_ATTEMPTS_TO_READMIT
                && ratio < outlierThreshold / 2) {
            node.readmit();
            double ejectedSeconds = TimeUnits.seconds(now - node.ejectedAt());
            round.actions()
                    .report(new PolicyEvent.NodeReadmitted(node.id(), ratio, ejectedSeconds));
        }
    }

    private void evaluatePanic(ShardTable table, RoundContext round) {
        List<Node> eligibleNodes = eligible.of(table, round.now());
        double ejectedCapacity =
                eligibleNodes.stream().filter(Node::ejected).mapToDouble(Node::capacity).sum();
        double totalCapacity = eligibleNodes.stream().mapToDouble(Node::capacity).sum();
        boolean panic = ejectedCapacity > PANIC_THRESHOLD * totalCapacity;
        if (panic != table.panicking()) {
            round.actions()
                    .report(
                            new PolicyEvent.PanicModeChanged(
                                    table.id(), panic, ejectedCapacity, totalCapacity));
        }
        table.setPanicking(panic);
    }

    /** The fraction of its weight that a node gets in a table, given its health. */
    double weightRatio(Node node, ShardTable table, long now) {
        if (table.panicking() || !node.ejected()) {
            return 1;
        }
        return now - node.ejectedAt() < PROBATION_AFTER_NANOS ? EJECTED_WEIGHT : PROBATION_WEIGHT;
    }
}
