package rosespread.scenario;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import rosespread.channel.Frame;
import rosespread.testbed.SiteDefinition;
import rosespread.testbed.TrafficRecorder;

/**
 * Checks the invariants of a run by passing each event to the invariants that it concerns. The only
 * inputs are the traffic observed at the fakes' ends of the sockets, the scenario's limits, and the
 * times at which the scenario itself suspended a controller or slowed the links. Confined to the
 * loop's thread until {@link #end}; results are read afterwards.
 */
final class InvariantChecker implements TrafficRecorder {
    private final RunTimeline timeline;
    private final ObservedProxies proxies = new ObservedProxies();
    private final ServedNodeLists nodeLists;
    private final NoEndpointInvariant noEndpoint;
    private final SingleEffectInvariant singleEffect;
    private final DrainInvariant drains;
    private final WarmUpInvariant warmUps;
    private final QueueLengthInvariant queueLength;
    private final MessageRateInvariant messageRate;
    private final TableContentInvariant tableContent;
    private final RollbackInvariant rollbacks;
    private final VersionOrderInvariant versionOrder;
    private final DurabilityInvariant durability;
    private final ChangeLatency changeLatency;

    /**
     * @param startNanos the time that counts as 0 s in the texts of results until {@link
     *     #setMeasurementStart} is called
     */
    InvariantChecker(Scenario scenario, long startNanos) {
        timeline = new RunTimeline(scenario.channel(), startNanos);
        drains = new DrainInvariant(scenario, timeline, proxies);
        nodeLists = new ServedNodeLists(drains);
        noEndpoint = new NoEndpointInvariant(scenario, timeline, proxies, nodeLists);
        singleEffect = new SingleEffectInvariant(timeline);
        warmUps = new WarmUpInvariant(scenario, timeline, proxies, nodeLists);
        queueLength = new QueueLengthInvariant(scenario, timeline);
        messageRate = new MessageRateInvariant(scenario, timeline);
        tableContent = new TableContentInvariant(timeline, nodeLists);
        rollbacks = new RollbackInvariant(scenario, timeline, proxies);
        versionOrder = new VersionOrderInvariant(timeline);
        durability = new DurabilityInvariant(timeline);
        changeLatency = new ChangeLatency(scenario);
    }

    /** Returns the results in the order of reports. */
    List<InvariantResult> results() {
        return List.of(
                noEndpoint.result(),
                singleEffect.result(),
                drains.result(),
                warmUps.result(),
                queueLength.result(),
                messageRate.result(),
                tableContent.result(),
                rollbacks.result(),
                versionOrder.result(),
                durability.result());
    }

    InvariantResult queueLength() {
        return queueLength.result();
    }

    Histogram rollbackMillis() {
        return rollbacks.millis();
    }

    Histogram drainMillis() {
        return drains.drainMillis();
    }

    Histogram operatorDrainMillis() {
        return drains.operatorDrainMillis();
    }

    Histogram changeMillis() {
        return changeLatency.changeMillis();
    }

    Histogram pacedMillis() {
        return changeLatency.pacedMillis();
    }

    /** Sets the time that counts as 0 s in the texts of results. */
    void setMeasurementStart(long nanos) {
        timeline.setMeasurementStart(nanos);
    }

    /** Records that the controller's process has ended and lost the node list that it was sent. */
    void controllerDown(String controller) {
        rollbacks.controllerDown(controller);
        nodeLists.forget(controller);
    }

    /** Records that the controller's process was suspended. */
    void controllerSuspended(String controller, long nanos) {
        timeline.controllerSuspended(controller, nanos);
    }

    /**
     * Records that the controller's process was resumed; node states that it was sent while
     * suspended count from now on.
     */
    void controllerResumed(String controller, long nanos) {
        timeline.controllerResumed(controller, nanos)
                .ifPresent(
                        suspendedNanos ->
                                nodeLists.deferChangesUntilResume(
                                        controller, suspendedNanos, nanos));
    }

    /**
     * Records that all links send entries {@code factor} times more slowly than usual from now on;
     * 1 ends the slowdown.
     */
    void linksSlowed(long nanos, double factor) {
        timeline.linksSlowed(nanos, factor);
    }

    /** Records that a controller accepted an operator's drain of a node. */
    void operatorDrained(long nanos, String controller, String node) {
        drains.operatorDrained(nanos, controller, node);
    }

    /** Records that an operator ends the drain of a node at a controller. */
    void operatorUndrained(String controller, String node) {
        drains.operatorUndrained(controller, node);
    }

    /** Records that a controller accepted an operator's rollback to these weights by node. */
    void rolledBack(long nanos, String controller, int table, Map<String, Double> weights) {
        rollbacks.rolledBack(nanos, controller, table, weights);
    }

    /** Returns a copy of a controller's versions that proxies have acknowledged so far. */
    TableVersions acknowledgedVersions(String controller) {
        return durability.acknowledged(controller);
    }

    /**
     * Compares the versions of a killed and restarted controller with the versions that proxies had
     * acknowledged before the kill.
     */
    void controllerRestored(
            long nanos, String controller, TableVersions before, TableVersions after) {
        durability.controllerRestored(nanos, controller, before, after);
    }

    /** Checks the invariants that can break by the passage of time alone; called periodically. */
    void sample(long nanos) {
        rollbacks.check(nanos);
        noEndpoint.sample(nanos);
    }

    /** Ends the run: closes the drains that are still open. */
    void end(long nanos) {
        sample(nanos);
        nodeLists.all().forEach(drains::closeDrain);
    }

    @Override
    public void nodeListServed(long nanos, String controller, Map<String, NodeListing> nodes) {
        nodeLists.served(nanos, controller, nodes);
    }

    @Override
    public void proxyJoined(
            long nanos, String proxy, String controller, Map<Integer, Long> heldVersions) {
        proxies.get(proxy).joined(controller, nanos);
        versionOrder.proxyJoined(proxy, heldVersions);
        rollbacks.proxyJoined(nanos, controller);
        messageRate.proxyJoined(proxy);
        noEndpoint.proxyJoined(nanos, proxy);
    }

    @Override
    public void proxyLeft(long nanos, String proxy) {
        sample(nanos);
        proxies.get(proxy).left();
        noEndpoint.proxyLeft(proxy);
    }

    @Override
    public void availabilityChanged(long nanos, String proxy, String method, boolean available) {
        sample(nanos);
        noEndpoint.availabilityChanged(nanos, proxies.get(proxy), method, available);
    }

    @Override
    public void attemptStarted(
            long nanos, String proxy, String node, long rpc, SiteDefinition.Method method) {
        ObservedProxy sender = proxies.get(proxy);
        if (sender.isJoined()) {
            drains.attemptStarted(nanos, sender, node, nodeLists.node(sender.controller(), node));
        }
    }

    @Override
    public void attemptFailed(
            long nanos, String proxy, String node, long rpc, SiteDefinition.Method method) {
        singleEffect.attemptFailed(method);
    }

    @Override
    public void effectApplied(long nanos, String node, long rpc, SiteDefinition.Method method) {
        singleEffect.effectApplied(nanos, node, rpc, method);
    }

    @Override
    public void warmingNodeReached(long nanos, String node) {
        warmUps.warmingNodeReached();
    }

    @Override
    public void nodeOverloaded(
            long nanos, String node, long startedNanos, Map<String, Double> workByProxy) {
        warmUps.nodeOverloaded(nanos, node, startedNanos, workByProxy);
    }

    @Override
    public void tableChanged(long nanos, String proxy, String controller, TableSnapshot held) {
        proxies.get(proxy).tableChanged(held.table(), held.weights());
        durability.tableChanged(controller, held);
        versionOrder.tableChanged(nanos, proxy, held);
        rollbacks.check(nanos);
        tableContent.tableChanged(nanos, proxy, controller, held.weights());
    }

    @Override
    public void messageArrived(
            long nanos, String proxy, String controller, Frame.Mark mark, double onLink) {
        proxies.get(proxy).messageArrived(nanos, ChangeLatency.orderedNanos(nanos, mark));
        queueLength.messageArrived(nanos, controller, mark, onLink);
        messageRate.messageArrived(nanos, proxy);
        changeLatency.messageArrived(nanos, controller, mark);
    }

    @Override
    public void messageApplied(long nanos, String proxy, String controller, Frame.Mark mark) {
        changeLatency.messageApplied(nanos, controller, mark);
    }
}
