package rosespread.scenario;

import java.util.List;
import java.util.function.Consumer;
import rosespread.testbed.FakeNodeList;
import rosespread.testbed.FakeNodes;
import rosespread.testbed.FakeProxies;
import rosespread.testbed.TestLoop;

/** Starts and ends a scenario's faults at their times. Confined to the loop's thread. */
final class FaultInjector {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** Actions that start and end a fault of one node or proxy, given its name. */
    private record Effect(Consumer<String> begin, Consumer<String> end) {}

    private final RunEnvironment environment;
    private final TestLoop loop;
    private final FakeNodes nodes;
    private final FakeProxies proxies;
    private final FakeNodeList list;
    private final FaultTargets targets;
    private final ControllerFaults controllerFaults;
    private final OperatorActions operator;

    FaultInjector(RunEnvironment environment, FaultTargets targets) {
        this.environment = environment;
        this.loop = environment.loop();
        this.nodes = environment.nodes();
        this.proxies = environment.proxies();
        this.list = environment.list();
        this.targets = targets;
        this.controllerFaults = new ControllerFaults(environment);
        this.operator = new OperatorActions(environment);
    }

    /** Schedules a fault; called at the start of the measured period. */
    void schedule(Fault fault) {
        loop.after(fault.startNanos(), () -> begin(fault));
    }

    private void begin(Fault fault) {
        switch (fault.kind()) {
            case NODE_CRASH, HANG, FAST_ABORTS, COLD_START, DRAIN, NEIGHBOUR, FALSE_REPORTS ->
                    apply(fault, targets.draw(nodes.names(), fault.share()), nodeEffect(fault));
            case ROLLING_DEPLOY -> rollingDeploy(fault);
            case FLAPPING -> flap(fault, targets.draw(nodes.names(), fault.share()), true);
            case ZONE_LOSS -> failZone(fault);
            case PROXY_CRASH, STREAM_CUT ->
                    apply(fault, targets.draw(proxies.names(), fault.share()), proxyEffect(fault));
            case ROLLBACK -> {
                if (!environment.controllers().isEmpty()) {
                    operator.rollback(fault, targets.drawNumber());
                }
            }
            case OPERATOR_DRAIN -> operator.drain(fault, targets.drawOne(nodes.names()));
            case CONDUCTOR_CRASH, CONDUCTOR_RESTART, CONDUCTOR_STALL, CONDUCTOR_KILLS ->
                    controllerFaults.inject(fault);
            case SLOW_CHANNEL -> slowChannel(fault);
            case MISSED_DELTAS -> {
                proxies.setDeltaLossRatio(fault.share());
                scheduleEnd(fault, () -> proxies.setDeltaLossRatio(0));
            }
            case LATE_REPORTS -> {
                proxies.setReportDelay(fault.spanNanos());
                scheduleEnd(fault, () -> proxies.setReportDelay(0));
            }
            case LATE_LIST -> delayList(fault);
            case SILENT_LIST -> setListMode(fault, FakeNodeList.AnswerMode.SILENT);
            case WRONG_LIST -> {
                setListMode(fault, FakeNodeList.AnswerMode.OLDER);
                loop.after(
                        fault.durationNanos() / 2,
                        () -> list.setMode(FakeNodeList.AnswerMode.ERRORS));
            }
            // The other faults are part of the generated arrivals.
            default -> scheduleEnd(fault, () -> {});
        }
    }

    private Effect nodeEffect(Fault fault) {
        return switch (fault.kind()) {
            case NODE_CRASH -> new Effect(nodes::crash, nodes::restart);
            case HANG -> new Effect(n -> nodes.setHung(n, true), n -> nodes.setHung(n, false));
            case FAST_ABORTS ->
                    new Effect(
                            n -> nodes.setAbortRatio(n, Math.min(1, fault.factor())),
                            n -> nodes.setAbortRatio(n, 0));
            case COLD_START -> new Effect(this::restartNode, n -> {});
            case DRAIN ->
                    new Effect(n -> nodes.setDraining(n, true), n -> nodes.setDraining(n, false));
            case NEIGHBOUR ->
                    new Effect(
                            n -> nodes.setSpeedFactor(n, 1 / Math.max(1, fault.factor())),
                            n -> nodes.setSpeedFactor(n, 1));
            case FALSE_REPORTS ->
                    new Effect(
                            n -> nodes.setReportFactor(n, fault.factor()),
                            n -> nodes.setReportFactor(n, 1));
            default ->
                    throw new IllegalArgumentException(
                            "expected a fault of nodes, got " + fault.kind());
        };
    }

    private Effect proxyEffect(Fault fault) {
        return switch (fault.kind()) {
            case PROXY_CRASH -> new Effect(proxies::crash, proxies::restart);
            case STREAM_CUT ->
                    // For about half of the proxies, the cut is silent: neither end of the stream
                    // notices it.
                    new Effect(
                            p -> proxies.setCut(p, true, p.hashCode() % 2 == 0),
                            p -> proxies.setCut(p, false, false));
            default ->
                    throw new IllegalArgumentException(
                            "expected a fault of proxies, got " + fault.kind());
        };
    }

    private void restartNode(String node) {
        nodes.crash(node);
        nodes.restart(node);
    }

    private void apply(Fault fault, List<String> targetNames, Effect effect) {
        String name = fault.kind().yamlName();
        environment.event(
                name + " affects " + targetNames.size() + ": " + String.join(" ", targetNames));
        targetNames.forEach(effect.begin());
        loop.after(
                fault.durationNanos(),
                () -> {
                    environment.event(name + " ends");
                    targetNames.forEach(effect.end());
                });
    }

    private void scheduleEnd(Fault fault, Runnable end) {
        String name = fault.kind().yamlName();
        environment.event(name + " begins");
        loop.after(
                fault.durationNanos(),
                () -> {
                    environment.event(name + " ends");
                    end.run();
                });
    }

    private void failZone(Fault fault) {
        apply(fault, nodes.names(fault.zone()), new Effect(nodes::crash, nodes::restart));
        apply(fault, proxies.names(fault.zone()), new Effect(proxies::crash, proxies::restart));
    }

    private void slowChannel(Fault fault) {
        setLinkSlowdown(fault.factor());
        scheduleEnd(fault, () -> setLinkSlowdown(1));
    }

    private void setLinkSlowdown(double factor) {
        proxies.setLinkSlowdown(factor);
        environment.checker().linksSlowed(loop.now(), factor);
    }

    private void delayList(Fault fault) {
        long configuredNanos = environment.scenario().listDelayNanos();
        list.setDelay(configuredNanos + fault.spanNanos());
        scheduleEnd(fault, () -> list.setDelay(configuredNanos));
    }

    private void setListMode(Fault fault, FakeNodeList.AnswerMode mode) {
        list.setMode(mode);
        scheduleEnd(fault, () -> list.setMode(FakeNodeList.AnswerMode.USUAL));
    }

    /**
     * Redeploys nodes one after the other: each node is listed as draining, crashed 1 s after the
     * sum of list delay and drain timeout, and restarted cold 1 s later. The drains begin at equal
     * intervals over the fault's duration.
     */
    private void rollingDeploy(Fault fault) {
        List<String> targetNames = targets.draw(nodes.names(), fault.share());
        environment.event("rolling deploy of " + targetNames.size() + " nodes begins");
        for (int i = 0; i < targetNames.size(); i++) {
            String node = targetNames.get(i);
            loop.after(fault.durationNanos() * i / targetNames.size(), () -> redeploy(node));
        }
        loop.after(
                fault.durationNanos(),
                () -> environment.event("rolling deploy: the last node drains"));
    }

    private void redeploy(String node) {
        Scenario scenario = environment.scenario();
        long drainNanos = scenario.limits().drainTimeoutNanos() + scenario.listDelayNanos();
        nodes.setDraining(node, true);
        loop.after(drainNanos + SECOND_NANOS, () -> nodes.crash(node));
        loop.after(drainNanos + 2 * SECOND_NANOS, () -> nodes.restart(node));
    }

    private void flap(Fault fault, List<String> targetNames, boolean down) {
        long halfPeriodNanos = Math.max(SECOND_NANOS, fault.spanNanos());
        environment.event("flapping: " + String.join(" ", targetNames) + (down ? " down" : " up"));
        targetNames.forEach(down ? nodes::crash : nodes::restart);
        boolean more = environment.elapsedNanos() + halfPeriodNanos < fault.endNanos();
        if (down || more) {
            loop.after(halfPeriodNanos, () -> flap(fault, targetNames, !down));
        }
    }
}
