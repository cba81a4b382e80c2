package rosespread.policy.state;

import java.util.Collection;
import java.util.TreeMap;
import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.NodeId;
import rosespread.api.ZoneId;
import rosespread.stats.DecayingSum;
import rosespread.stats.WindowedRate;

/**
 * A node as the endpoint list, the load reports and the health checks describe it. Times are clock
 * readings in nanoseconds. Owned by the thread that runs the policy.
 */
public final class Node {
    /** A time before all others; differences to it do not overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    private final NodeId id;
    private final TreeMap<ZoneId, WindowedRate> answered = new TreeMap<>();
    private final TreeMap<ZoneId, WindowedRate> attempted = new TreeMap<>();
    private MachineTypeId machineType;
    private ZoneId zone;
    private double listedWeight = 1;
    private long startedAt = Long.MIN_VALUE;
    private double capacityFactor = 1;
    private boolean capacityAdjusted;
    private WindowedRate utilization;
    private WindowedRate recentUtilization;
    private WindowedRate latency;
    private DecayingSum attempts;
    private DecayingSum failures;
    private boolean ejected;
    private long ejectedAt;
    private boolean excluded;
    private long healthCheckedAt;
    private long answeredAt = NEVER;
    private long removedAt = NEVER;
    private long leftAt = NEVER;
    private EventHandler.NodeState state = EventHandler.NodeState.GONE;

    /**
     * Creates a node that is not listed yet.
     *
     * @param id the node's identity
     * @param healthWindowNanos time constant over which evidence of health decays
     */
    public Node(NodeId id, long healthWindowNanos) {
        this.id = id;
        restart(Long.MIN_VALUE, healthWindowNanos);
    }

    /** The node's identity. */
    public NodeId id() {
        return id;
    }

    /** The machine type, null before the node is listed. */
    public MachineTypeId machineType() {
        return machineType;
    }

    /** The zone, null before the node is listed. */
    public ZoneId zone() {
        return zone;
    }

    /** Takes what an entry of the endpoint list says of the node, but for its state and start. */
    public void setListedAttributes(MachineTypeId listedType, ZoneId listedZone, double weight) {
        machineType = listedType;
        zone = listedZone;
        listedWeight = weight > 0 ? weight : 1;
    }

    /** The weight that the endpoint list states, 1 if it states none. */
    public double listedWeight() {
        return listedWeight;
    }

    /** Whether the endpoint list names the node as ready to take requests. */
    public boolean ready() {
        return state == EventHandler.NodeState.READY;
    }

    /** Takes the listed state; the time is kept at which it last ceased to be ready. */
    public void setState(EventHandler.NodeState next, long now) {
        leftAt =
                next != EventHandler.NodeState.READY && (ready() || leftAt == NEVER) ? now : leftAt;
        state = next;
    }

    /** When the node last ceased to be ready, {@link #NEVER} if it never did. */
    public long leftAt() {
        return leftAt;
    }

    /**
     * Drops what was measured, as a process that has just started tells nothing of the machine; the
     * capacity factor is kept from before.
     */
    public void restart(long at, long healthWindowNanos) {
        startedAt = at;
        answered.clear();
        attempted.clear();
        utilization = new WindowedRate();
        latency = new WindowedRate();
        recentUtilization = new WindowedRate();
        attempts = new DecayingSum(healthWindowNanos);
        failures = new DecayingSum(healthWindowNanos);
        ejected = false;
    }

    /** When the process started, {@link Long#MIN_VALUE} if long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Whether the process started less than this long ago. */
    public boolean startedWithin(long now, long nanos) {
        return startedAt != Long.MIN_VALUE && now - startedAt < nanos;
    }

    /** The listed weight corrected by what the node has shown since. */
    public double capacity() {
        return listedWeight * capacityFactor;
    }

    /** What the listed weight is multiplied by. */
    public double capacityFactor() {
        return capacityFactor;
    }

    /** Whether the capacity factor was ever set from measurements. */
    public boolean capacityAdjusted() {
        return capacityAdjusted;
    }

    /** Sets the capacity factor from the node's own measurements or those of its like. */
    public void adjustCapacity(double factor) {
        capacityFactor = factor;
        capacityAdjusted = true;
    }

    /** The rate of answers to the proxies of a zone, to be added to. */
    public WindowedRate answeredRate(ZoneId proxyZone) {
        return answered.computeIfAbsent(proxyZone, z -> new WindowedRate());
    }

    /** The rates of answers, by zone of the proxies. */
    public Collection<WindowedRate> answeredRates() {
        return answered.values();
    }

    /** Answers a second to the proxies of all zones. */
    public double answeredPerSecond(long now) {
        return perSecond(answered, now);
    }

    /** Answers within the window, to the proxies of all zones. */
    public double answeredCount(long now) {
        return answered.values().stream().mapToDouble(rate -> rate.counted(now)).sum();
    }

    /** The rate of attempts by the proxies of a zone, to be added to. */
    public WindowedRate attemptedRate(ZoneId proxyZone) {
        return attempted.computeIfAbsent(proxyZone, z -> new WindowedRate());
    }

    /** Attempts a second by the proxies of all zones. */
    public double attemptedPerSecond(long now) {
        return perSecond(attempted, now);
    }

    private static double perSecond(TreeMap<ZoneId, WindowedRate> byZone, long now) {
        return byZone.values().stream().mapToDouble(rate -> rate.perSecond(now)).sum();
    }

    /** Utilization over the window of answers, as a part of the node's cores. */
    public WindowedRate utilization() {
        return utilization;
    }

    /** Utilization over the shorter window of demand. */
    public WindowedRate recentUtilization() {
        return recentUtilization;
    }

    /** Latency in seconds. */
    public WindowedRate latency() {
        return latency;
    }

    /** Adds evidence of health: attempts, and how many of them failed. */
    public void addAttempts(long now, double count, double failed) {
        attempts.add(now, count);
        failures.add(now, failed);
    }

    /** The decayed number of attempts. */
    public double attempts(long now) {
        return attempts.read(now);
    }

    /** The decayed number of failed attempts. */
    public double failures(long now) {
        return failures.read(now);
    }

    /** The part of the attempts that failed. */
    public double failureRatio(long now) {
        return failures.read(now) / Math.max(1e-9, attempts.read(now));
    }

    /** Notes that a report brought an answer. */
    public void markAnswered(long now) {
        answeredAt = now;
    }

    /** When the last report came that held an answer, {@link #NEVER} if none did. */
    public long answeredAt() {
        return answeredAt;
    }

    /** Whether the node is ejected as an outlier. */
    public boolean ejected() {
        return ejected;
    }

    /** When the node was last ejected. */
    public long ejectedAt() {
        return ejectedAt;
    }

    /** Ejects the node as an outlier. */
    public void eject(long now) {
        ejected = true;
        ejectedAt = now;
    }

    /** Ends the ejection. */
    public void readmit() {
        ejected = false;
    }

    /** When the interval between health checks last began. */
    public long healthCheckedAt() {
        return healthCheckedAt;
    }

    /** Starts the interval to the next health check. */
    public void startHealthCheckInterval(long at) {
        healthCheckedAt = at;
    }

    /** Whether the node is excluded from all that joined proxies hold. */
    public boolean excluded() {
        return excluded;
    }

    /** Notes that the proxies got the order to exclude the node, or to readmit it. */
    public void setExcluded(boolean out) {
        excluded = out;
    }

    /** When the last removal of one of the node's weight entries was sent. */
    public long removedAt() {
        return removedAt;
    }

    /** Notes that a removal of one of the node's weight entries is sent. */
    public void markRemoved(long now) {
        removedAt = now;
    }
}
