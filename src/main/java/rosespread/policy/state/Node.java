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
    /** A clock reading before all others; differences to it do not overflow. */
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
     * @param healthWindowNanos time constant of the decaying counts of attempts and failures
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

    /**
     * Sets the attributes from the node's entry in the endpoint list, except its state and start
     * time.
     *
     * @param weight the listed weight; 0 or less sets the default of 1
     */
    public void setListedAttributes(MachineTypeId listedType, ZoneId listedZone, double weight) {
        machineType = listedType;
        zone = listedZone;
        listedWeight = weight > 0 ? weight : 1;
    }

    /** The weight that the endpoint list states, 1 if it states none. */
    public double listedWeight() {
        return listedWeight;
    }

    /** Whether the endpoint list states that the node is ready to take requests. */
    public boolean ready() {
        return state == EventHandler.NodeState.READY;
    }

    /** Sets the listed state and records when the node last ceased to be ready. */
    public void setState(EventHandler.NodeState next, long now) {
        leftAt =
                next != EventHandler.NodeState.READY && (ready() || leftAt == NEVER) ? now : leftAt;
        state = next;
    }

    /** Clock reading at which the node last ceased to be ready, {@link #NEVER} if it never did. */
    public long leftAt() {
        return leftAt;
    }

    /**
     * Discards all measurements, as a process that has just started says nothing about the machine;
     * the capacity factor is kept.
     *
     * @param at clock reading of the process start, {@link Long#MIN_VALUE} if long ago
     * @param healthWindowNanos time constant of the decaying counts of attempts and failures
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

    /** Clock reading at which the process started, {@link Long#MIN_VALUE} if long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Whether the process started less than the given time ago. */
    public boolean startedWithin(long now, long nanos) {
        return startedAt != Long.MIN_VALUE && now - startedAt < nanos;
    }

    /** The listed weight multiplied by the capacity factor. */
    public double capacity() {
        return listedWeight * capacityFactor;
    }

    /** The factor that corrects the listed weight by measurements. */
    public double capacityFactor() {
        return capacityFactor;
    }

    /** Whether the capacity factor was ever set from measurements. */
    public boolean capacityAdjusted() {
        return capacityAdjusted;
    }

    /** Sets the capacity factor, measured at the node itself or at nodes of its machine type. */
    public void adjustCapacity(double factor) {
        capacityFactor = factor;
        capacityAdjusted = true;
    }

    /** The rate of answers to the proxies of a zone, created on first use; callers add to it. */
    public WindowedRate answeredRate(ZoneId proxyZone) {
        return answered.computeIfAbsent(proxyZone, z -> new WindowedRate());
    }

    /** The rates of answers, one per zone of the proxies. */
    public Collection<WindowedRate> answeredRates() {
        return answered.values();
    }

    /** Answers per second to the proxies of all zones. */
    public double answeredPerSecond(long now) {
        return perSecond(answered, now);
    }

    /** Number of answers to the proxies of all zones, decayed over the load window. */
    public double answeredCount(long now) {
        return answered.values().stream().mapToDouble(rate -> rate.counted(now)).sum();
    }

    /** The rate of attempts by the proxies of a zone, created on first use; callers add to it. */
    public WindowedRate attemptedRate(ZoneId proxyZone) {
        return attempted.computeIfAbsent(proxyZone, z -> new WindowedRate());
    }

    /** Attempts per second by the proxies of all zones. */
    public double attemptedPerSecond(long now) {
        return perSecond(attempted, now);
    }

    private static double perSecond(TreeMap<ZoneId, WindowedRate> byZone, long now) {
        return byZone.values().stream().mapToDouble(rate -> rate.perSecond(now)).sum();
    }

    /**
     * Utilization over the load window, the same as for answers, as a fraction of the node's cores.
     */
    public WindowedRate utilization() {
        return utilization;
    }

    /** Utilization over the shorter demand window, as a fraction of the node's cores. */
    public WindowedRate recentUtilization() {
        return recentUtilization;
    }

    /** Latency of answers in seconds. */
    public WindowedRate latency() {
        return latency;
    }

    /** Counts attempts, and how many of them failed, as evidence of the node's health. */
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

    /** The ratio of failed attempts to attempts. */
    public double failureRatio(long now) {
        return failures.read(now) / Math.max(1e-9, attempts.read(now));
    }

    /** Records that a load report contained an answer. */
    public void markAnswered(long now) {
        answeredAt = now;
    }

    /**
     * Clock reading at which the last report with an answer arrived, {@link #NEVER} if there was
     * none.
     */
    public long answeredAt() {
        return answeredAt;
    }

    /** Whether the node is ejected as an outlier. */
    public boolean ejected() {
        return ejected;
    }

    /** Clock reading at which the node was last ejected. */
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

    /** Clock reading at which the current health check interval started. */
    public long healthCheckedAt() {
        return healthCheckedAt;
    }

    /** Starts the interval to the next health check. */
    public void startHealthCheckInterval(long at) {
        healthCheckedAt = at;
    }

    /** Whether joined proxies without a subscription were told to exclude the node. */
    public boolean excluded() {
        return excluded;
    }

    /** Records whether proxies were told to exclude the node or to include it again. */
    public void setExcluded(boolean exclude) {
        excluded = exclude;
    }

    /**
     * Clock reading at which a removal of one of the node's weight entries was last sent, {@link
     * #NEVER} if none was.
     */
    public long removedAt() {
        return removedAt;
    }

    /** Records that a removal of one of the node's weight entries is sent. */
    public void markRemoved(long now) {
        removedAt = now;
    }
}
