package rosespread.policy;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.EventHandler.NodeListKind;
import rosespread.api.EventHandler.NodeState;
import rosespread.policy.RecordingActions.Count;
import rosespread.policy.SimulatedProxy.Acknowledgement;

/**
 * Histories that lead the routing policy through its branches, each with what it must have reached.
 */
enum History {
    MASS_RECONNECT(
            History::massReconnect, Count.FULL_TABLES, Count.ENTRIES, Count.REMOVALS, Count.TOKENS),
    ROLLING_REPLACEMENT(
            History::rollingReplacement, Count.FULL_TABLES, Count.ENTRIES, Count.REMOVALS),
    OVERLOAD(
            History::overload, Count.FULL_TABLES, Count.ENTRIES, Count.LIMITS, Count.LIMITS_LIFTED),
    LOST_REPORTS(History::lostReports, Count.FULL_TABLES, Count.ENTRIES),
    NODE_FAILURES(History::nodeFailures, Count.FULL_TABLES, Count.EJECTIONS, Count.RECOVERIES),
    POLICY_RESTART(History::policyRestart, Count.FULL_TABLES, Count.ENTRIES, Count.REMOVALS),
    CHURN(History::churn, Count.FULL_TABLES, Count.ENTRIES, Count.REMOVALS, Count.EXCLUSIONS),
    SITE_RETURN(History::siteReturn, Count.FULL_TABLES, Count.ENTRIES, Count.REMOVALS),
    UNSTEADY_NODES(History::unsteadyNodes, Count.FULL_TABLES, Count.EJECTIONS, Count.RECOVERIES),
    SLOW_RAMPS(
            History::slowRamps,
            Count.FULL_TABLES,
            Count.EJECTIONS,
            Count.LIMITS,
            Count.LIMITS_LIFTED);

    private final Consumer<FleetSimulator> course;
    private final List<Count> reached;

    History(Consumer<FleetSimulator> course, Count... reached) {
        this.course = course;
        this.reached = Arrays.asList(reached);
    }

    void play(FleetSimulator fleet) {
        course.accept(fleet);
    }

    /** What must have come about, or the history shows nothing. */
    List<Count> reached() {
        return reached;
    }

    private static void settle(FleetSimulator fleet, double seconds) {
        fleet.join(0, fleet.proxies());
        fleet.run(seconds);
    }

    /**
     * All proxies come at once, then once more while a third of the nodes leave and some return
     * cold.
     */
    private static void massReconnect(FleetSimulator fleet) {
        int third = fleet.nodes() / 3;
        fleet.join(0, fleet.proxies() / 4);
        fleet.run(6);
        fleet.join(fleet.proxies() / 4, fleet.proxies());
        fleet.change(NodeState.DRAINING, 0, third);
        fleet.run(1.5);
        fleet.change(NodeState.GONE, 0, third / 2);
        fleet.run(8);
        fleet.change(NodeState.GONE, third / 2, third);
        fleet.leave(0, fleet.proxies() / 2);
        fleet.run(0.7);
        fleet.change(NodeState.DRAINING, third, third + 3);
        fleet.join(0, fleet.proxies() / 2);
        fleet.restart(0, third);
        fleet.run(14);
        fleet.change(NodeState.GONE, fleet.nodes() - 2, fleet.nodes());
        fleet.run(2);
    }

    private static void rollingReplacement(FleetSimulator fleet) {
        settle(fleet, 12);
        for (int i = 0; i < 14; i++) {
            fleet.change(NodeState.DRAINING, i, i + 1);
            fleet.run(1.2);
            if (i >= 2) {
                fleet.change(NodeState.GONE, i - 2, i - 1);
            }
            fleet.run(0.6);
            if (i >= 4) {
                fleet.restart(i - 4, i - 3);
            }
            fleet.run(0.2);
        }
        fleet.restart(10, 14);
        fleet.run(8);
    }

    private static void overload(FleetSimulator fleet) {
        fleet.demand(0.6);
        settle(fleet, 10);
        for (double demand : new double[] {0.9, 1.1, 1.3, 1.6, 2.0, 1.2, 0.9, 0.8, 0.6, 0.3}) {
            fleet.demand(demand);
            fleet.run(4);
        }
        fleet.run(6);
    }

    private static void lostReports(FleetSimulator fleet) {
        settle(fleet, 8);
        fleet.nodes(0, fleet.nodes() / 2).forEach(node -> node.reportsLost = true);
        fleet.demand(0.7);
        fleet.run(6);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.reportsLost = true);
        fleet.list(NodeListKind.UNAVAILABLE, 0, 0);
        fleet.run(4);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.reportsLost = false);
        fleet.run(3);
        fleet.nodes(0, fleet.nodes() / 3).forEach(node -> node.reportsHeld = true);
        fleet.run(4);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.reportsHeld = false);
        fleet.restart(1, 4);
        fleet.demand(0.4);
        fleet.run(10);
    }

    private static void nodeFailures(FleetSimulator fleet) {
        settle(fleet, 8);
        int few = fleet.nodes() / 6;
        fleet.nodes(0, few).forEach(node -> node.failures = 0.8);
        fleet.nodes(few, few + 2).forEach(node -> node.failures = 0.2);
        fleet.run(9);
        fleet.nodes(0, few + 2).forEach(node -> node.failures = 0);
        fleet.nodes(few + 3, few + 5).forEach(node -> node.reachable = false);
        fleet.run(10);
        fleet.nodes(0, fleet.nodes() / 2).forEach(node -> node.failures = 0.95);
        fleet.run(3);
        fleet.nodes(fleet.nodes() / 2, fleet.nodes() * 3 / 4).forEach(node -> node.failures = 0.95);
        fleet.run(8);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.failures = 0);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.reachable = true);
        fleet.run(12);
    }

    private static void policyRestart(FleetSimulator fleet) {
        fleet.acknowledge(Acknowledgement.LATE, 0, 6);
        fleet.acknowledge(Acknowledgement.NEVER, 6, 8);
        settle(fleet, 10);
        fleet.startPolicy(77);
        fleet.run(0.3);
        fleet.join(0, fleet.proxies());
        fleet.change(NodeState.GONE, 0, 3);
        fleet.run(0.2);
        fleet.change(NodeState.DRAINING, 5, 7);
        fleet.run(4);
        fleet.restart(0, 3);
        fleet.run(4);
        fleet.list(NodeListKind.FULL, 2, fleet.nodes());
        fleet.run(8);
    }

    /** Nodes and proxies come and go, in ones and in many; some acknowledge late or never. */
    private static void churn(FleetSimulator fleet) {
        fleet.acknowledge(Acknowledgement.LATE, 0, 10);
        fleet.acknowledge(Acknowledgement.NEVER, 10, 13);
        fleet.demand(0.75);
        settle(fleet, 10);
        for (int i = 0; i < 8; i++) {
            fleet.grow(i % 3 == 0 ? 5 : 1);
            fleet.leave(3 * i, 3 * i + 2);
            fleet.run(1.1);
            fleet.change(i % 2 == 0 ? NodeState.GONE : NodeState.DRAINING, i, i + 1 + i % 3);
            fleet.join(3 * i, 3 * i + 1);
            fleet.run(1.4);
        }
        fleet.demand(0.9);
        fleet.run(10);
        fleet.demand(0.2);
        fleet.run(8);
    }

    /**
     * Most nodes are lost under load and return cold; then the policy starts anew among cold nodes.
     */
    private static void siteReturn(FleetSimulator fleet) {
        int most = fleet.nodes() * 3 / 5;
        fleet.demand(0.45);
        settle(fleet, 10);
        fleet.nodes(0, most).forEach(node -> node.reachable = false);
        fleet.run(2);
        fleet.change(NodeState.GONE, 0, most);
        fleet.run(6);
        fleet.nodes(0, most).forEach(node -> node.reachable = true);
        fleet.restart(0, most);
        fleet.run(7);
        fleet.startPolicy(78);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.reportsLost = true);
        fleet.join(0, fleet.proxies() / 2);
        fleet.run(1);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.reportsLost = false);
        fleet.join(fleet.proxies() / 2, fleet.proxies());
        fleet.run(14);
    }

    /**
     * A third of the nodes fail by shares that rise and fall, each at its own pace, under growing
     * load.
     */
    private static void unsteadyNodes(FleetSimulator fleet) {
        fleet.demand(0.1);
        settle(fleet, 6);
        for (int t = 0; t < 70; t++) {
            for (int n = 0; n < fleet.nodes(); n += 3) {
                fleet.node(n).failures = (t * (1 + n % 4) + 7 * n) % 50 / 50.0;
            }
            fleet.demand(0.08 + 0.11 * (t / 7));
            fleet.run(0.5);
        }
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.failures = 0);
        fleet.demand(0.3);
        fleet.run(8);
    }

    /**
     * Load and failures pass the policy's thresholds slowly, so that a small shift of one shows.
     */
    private static void slowRamps(FleetSimulator fleet) {
        fleet.demand(0.4);
        settle(fleet, 6);
        for (int t = 0; t < 140; t++) {
            fleet.demand(t < 70 ? 0.4 + 0.018 * t : 1.66 - 0.018 * (t - 70));
            fleet.run(0.3);
        }
        fleet.demand(0.8);
        for (int t = 0; t < 60; t++) {
            for (int n = 1; n < fleet.nodes(); n += 4) {
                fleet.node(n).failures = 0.84 + 0.002 * (t + n % 5);
            }
            fleet.run(0.2);
        }
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.failures = 0);
        fleet.run(5);
        for (int t = 0; t < 60; t++) {
            fleet.demand(0.02 + 0.004 * t);
            fleet.node(t % fleet.nodes()).reachable = t % 3 != 0;
            fleet.run(0.3);
        }
    }
}
