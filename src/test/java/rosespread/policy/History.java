package rosespread.policy;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.EventHandler.NodeListKind;
import rosespread.api.EventHandler.NodeState;
import rosespread.policy.RecordingActions.Count;
import rosespread.policy.SimulatedProxy.Acknowledgement;

/**
 * Sequences of fleet events that lead the routing policy through its branches, each with the counts
 * of actions that must not be zero.
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

    private final Consumer<FleetSimulator> events;
    private final List<Count> requiredCounts;

    History(Consumer<FleetSimulator> events, Count... requiredCounts) {
        this.events = events;
        this.requiredCounts = Arrays.asList(requiredCounts);
    }

    void play(FleetSimulator fleet) {
        events.accept(fleet);
    }

    /** Returns the actions that the policy must have taken, or the history tests nothing. */
    List<Count> requiredCounts() {
        return requiredCounts;
    }

    private static void settle(FleetSimulator fleet, double seconds) {
        fleet.join(0, fleet.proxies());
        fleet.run(seconds);
    }

    /**
     * Proxies join in large groups, half of them a second time, while a third of the nodes leave
     * and return cold.
     */
    private static void massReconnect(FleetSimulator fleet) {
        int third = fleet.nodes() / 3;
        fleet.join(0, fleet.proxies() / 4);
        fleet.run(6);
        fleet.join(fleet.proxies() / 4, fleet.proxies());
        fleet.changeState(NodeState.DRAINING, 0, third);
        fleet.run(1.5);
        fleet.changeState(NodeState.GONE, 0, third / 2);
        fleet.run(8);
        fleet.changeState(NodeState.GONE, third / 2, third);
        fleet.leave(0, fleet.proxies() / 2);
        fleet.run(0.7);
        fleet.changeState(NodeState.DRAINING, third, third + 3);
        fleet.join(0, fleet.proxies() / 2);
        fleet.restart(0, third);
        fleet.run(14);
        fleet.changeState(NodeState.GONE, fleet.nodes() - 2, fleet.nodes());
        fleet.run(2);
    }

    private static void rollingReplacement(FleetSimulator fleet) {
        settle(fleet, 12);
        for (int i = 0; i < 14; i++) {
            fleet.changeState(NodeState.DRAINING, i, i + 1);
            fleet.run(1.2);
            if (i >= 2) {
                fleet.changeState(NodeState.GONE, i - 2, i - 1);
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
        fleet.setDemand(0.6);
        settle(fleet, 10);
        for (double demand : new double[] {0.9, 1.1, 1.3, 1.6, 2.0, 1.2, 0.9, 0.8, 0.6, 0.3}) {
            fleet.setDemand(demand);
            fleet.run(4);
        }
        fleet.run(6);
    }

    private static void lostReports(FleetSimulator fleet) {
        settle(fleet, 8);
        fleet.nodes(0, fleet.nodes() / 2).forEach(node -> node.reportsLost = true);
        fleet.setDemand(0.7);
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
        fleet.setDemand(0.4);
        fleet.run(10);
    }

    private static void nodeFailures(FleetSimulator fleet) {
        settle(fleet, 8);
        int few = fleet.nodes() / 6;
        fleet.nodes(0, few).forEach(node -> node.failureRatio = 0.8);
        fleet.nodes(few, few + 2).forEach(node -> node.failureRatio = 0.2);
        fleet.run(9);
        fleet.nodes(0, few + 2).forEach(node -> node.failureRatio = 0);
        fleet.nodes(few + 3, few + 5).forEach(node -> node.reachable = false);
        fleet.run(10);
        fleet.nodes(0, fleet.nodes() / 2).forEach(node -> node.failureRatio = 0.95);
        fleet.run(3);
        fleet.nodes(fleet.nodes() / 2, fleet.nodes() * 3 / 4)
                .forEach(node -> node.failureRatio = 0.95);
        fleet.run(8);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.failureRatio = 0);
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.reachable = true);
        fleet.run(12);
    }

    private static void policyRestart(FleetSimulator fleet) {
        fleet.setAcknowledgement(Acknowledgement.LATE, 0, 6);
        fleet.setAcknowledgement(Acknowledgement.NEVER, 6, 8);
        settle(fleet, 10);
        fleet.startPolicy(77);
        fleet.run(0.3);
        fleet.join(0, fleet.proxies());
        fleet.changeState(NodeState.GONE, 0, 3);
        fleet.run(0.2);
        fleet.changeState(NodeState.DRAINING, 5, 7);
        fleet.run(4);
        fleet.restart(0, 3);
        fleet.run(4);
        fleet.list(NodeListKind.FULL, 2, fleet.nodes());
        fleet.run(8);
    }

    /** Nodes and proxies join and leave, singly and in groups; some acknowledge late or never. */
    private static void churn(FleetSimulator fleet) {
        fleet.setAcknowledgement(Acknowledgement.LATE, 0, 10);
        fleet.setAcknowledgement(Acknowledgement.NEVER, 10, 13);
        fleet.setDemand(0.75);
        settle(fleet, 10);
        for (int i = 0; i < 8; i++) {
            fleet.addNodes(i % 3 == 0 ? 5 : 1);
            fleet.leave(3 * i, 3 * i + 2);
            fleet.run(1.1);
            fleet.changeState(i % 2 == 0 ? NodeState.GONE : NodeState.DRAINING, i, i + 1 + i % 3);
            fleet.join(3 * i, 3 * i + 1);
            fleet.run(1.4);
        }
        fleet.setDemand(0.9);
        fleet.run(10);
        fleet.setDemand(0.2);
        fleet.run(8);
    }

    /**
     * Most nodes are lost under load and return cold; then the policy restarts among cold nodes.
     */
    private static void siteReturn(FleetSimulator fleet) {
        int most = fleet.nodes() * 3 / 5;
        fleet.setDemand(0.45);
        settle(fleet, 10);
        fleet.nodes(0, most).forEach(node -> node.reachable = false);
        fleet.run(2);
        fleet.changeState(NodeState.GONE, 0, most);
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
     * A third of the nodes have failure ratios that rise and fall at different speeds, under
     * growing load.
     */
    private static void unsteadyNodes(FleetSimulator fleet) {
        fleet.setDemand(0.1);
        settle(fleet, 6);
        for (int t = 0; t < 70; t++) {
            for (int n = 0; n < fleet.nodes(); n += 3) {
                fleet.node(n).failureRatio = (t * (1 + n % 4) + 7 * n) % 50 / 50.0;
            }
            fleet.setDemand(0.08 + 0.11 * (t / 7));
            fleet.run(0.5);
        }
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.failureRatio = 0);
        fleet.setDemand(0.3);
        fleet.run(8);
    }

    /**
     * Load and failure ratios cross the policy's thresholds slowly, so that a small change of a
     * threshold changes the digest.
     */
    private static void slowRamps(FleetSimulator fleet) {
        fleet.setDemand(0.4);
        settle(fleet, 6);
        for (int t = 0; t < 140; t++) {
            fleet.setDemand(t < 70 ? 0.4 + 0.018 * t : 1.66 - 0.018 * (t - 70));
            fleet.run(0.3);
        }
        fleet.setDemand(0.8);
        for (int t = 0; t < 60; t++) {
            for (int n = 1; n < fleet.nodes(); n += 4) {
                fleet.node(n).failureRatio = 0.84 + 0.002 * (t + n % 5);
            }
            fleet.run(0.2);
        }
        fleet.nodes(0, fleet.nodes()).forEach(node -> node.failureRatio = 0);
        fleet.run(5);
        for (int t = 0; t < 60; t++) {
            fleet.setDemand(0.02 + 0.004 * t);
            fleet.node(t % fleet.nodes()).reachable = t % 3 != 0;
            fleet.run(0.3);
        }
    }
}
