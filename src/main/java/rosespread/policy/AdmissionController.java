package rosespread.policy;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import rosespread.api.MethodId;
import rosespread.api.PolicyEvent;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;
import rosespread.stats.FairShare;

/** Sheds load by admission limits where more is offered than fits, the lowest priority first. */
final class AdmissionController {
    /** Limits are set at this interval, as their effect is reported later. */
    private static final long INTERVAL_NANOS = TimeUnits.SECOND / 2;

    /** The part of the available capacity that limits keep the load to. */
    private static final double TARGET_LOAD = 0.85;

    /** A limit is set again when it differs by more than this part. */
    private static final double LIMIT_BAND = 0.1;

    /** A limit that falls below this part of the former does not wait for other deliveries. */
    private static final double URGENT_FALL = 0.75;

    /** A method of which this share fits is not limited. */
    private static final double UNLIMITED_SHARE = 0.98;

    /** Offered load against available capacity at which shedding starts, and at which it ends. */
    private static final double SHED_START_LOAD = 0.88;

    private static final double SHED_END_LOAD = 0.78;

    /**
     * However much is offered, shedding starts only where nodes are so busy, and ends where they
     * are not.
     */
    private static final double SHED_START_UTILIZATION = 0.6;

    private static final double SHED_END_UTILIZATION = 0.5;

    private final PolicySettings settings;
    private final NodeRegistry nodes;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final SlowStart slowStart;
    private final CapacityUnits units;
    private final LoadEstimator load;
    private final CapacityEstimator capacity;
    private final DemandEstimator demands;
    private long nextUpdate;
    private boolean shedding;

    AdmissionController(
            PolicySettings settings,
            NodeRegistry nodes,
            ProxyRegistry proxies,
            ShardRegistry shards,
            SlowStart slowStart,
            CapacityUnits units,
            LoadEstimator load,
            CapacityEstimator capacity,
            DemandEstimator demands) {
        this.settings = settings;
        this.nodes = nodes;
        this.proxies = proxies;
        this.shards = shards;
        this.slowStart = slowStart;
        this.units = units;
        this.load = load;
        this.capacity = capacity;
        this.demands = demands;
    }

    /** Whether load is shed. */
    boolean shedding() {
        return shedding;
    }

    /** Sets the admission limits, where it is time for it. */
    void updateLimits(RoundContext round) {
        if (round.now() < nextUpdate) {
            return;
        }
        nextUpdate = round.now() + INTERVAL_NANOS;
        updateShedding(round);
        for (ShardTable table : shards.tables()) {
            for (MethodId method : table.methods()) {
                double share = shedding ? admittedShare(method, round.now()) : 1;
                double limit =
                        share >= UNLIMITED_SHARE
                                ? Double.POSITIVE_INFINITY
                                : limit(method, share, round.now());
                setLimit(table, method, limit);
            }
        }
    }

    /**
     * How busy the nodes say they are by now, by capacity; NaN if none ever tells. Warm ones that
     * have not reported count as idle: guards against the first few reports after a start, which
     * may come from the busiest.
     */
    private double utilization(long now) {
        List<Node> warm =
                nodes.ready().stream().filter(node -> !slowStart.warmingUp(node, now)).toList();
        if (warm.stream().noneMatch(node -> node.recentUtilization().known(now))) {
            return Double.NaN;
        }
        double busy =
                warm.stream()
                        .mapToDouble(
                                node -> node.recentUtilization().perSecond(now) * node.capacity())
                        .sum();
        return busy / warm.stream().mapToDouble(Node::capacity).sum();
    }

    /**
     * What is offered counts retries of what was rejected, and grows at once where proxies come,
     * while what nodes can do is learned slowly: shedding would go on by itself. Guards against
     * that by what nodes say of themselves, and by waiting after a start; it sheds late where
     * reports are late.
     */
    private void updateShedding(RoundContext round) {
        long now = round.now();
        double offered =
                shards.firstTables().stream()
                        .flatMap(table -> table.methods().stream())
                        .mapToDouble(method -> demands.demand(method, now))
                        .sum();
        double available = load.availableCapacity(now);
        double ratio = units.known() ? offered / Math.max(available, 1e-9) : 0;
        boolean shed =
                settings.throttle() != PolicySettings.Throttle.NONE
                        && capacity.reliable()
                        && ratio > (shedding ? SHED_END_LOAD : SHED_START_LOAD)
                        && !nodesIdle(now);
        if (shed != shedding) {
            shedding = shed;
            round.actions().report(new PolicyEvent.LoadSheddingChanged(shed, offered, available));
        }
    }

    /** Whether nodes report too little utilization for shedding; not if none reports any. */
    private boolean nodesIdle(long now) {
        return utilization(now) < (shedding ? SHED_END_UTILIZATION : SHED_START_UTILIZATION);
    }

    /**
     * The share of a method that fits once all of higher priority is admitted; equals share alike.
     */
    private double admittedShare(MethodId limited, long now) {
        double priority = settings.methods().get(limited.value()).priorityWeight();
        double left = TARGET_LOAD * load.availableCapacity(now);
        double wanted = 0;
        for (int m = 0; m < settings.methods().size(); m++) {
            double other = settings.methods().get(m).priorityWeight();
            left -= other > priority ? demands.demand(new MethodId(m), now) : 0;
            wanted += other == priority ? demands.demand(new MethodId(m), now) : 0;
        }
        return Math.max(0, Math.min(1, left / Math.max(wanted, 1e-9)));
    }

    /**
     * A limit as the proxies count it: a share, or the rate at each that cuts the busiest first.
     */
    private double limit(MethodId method, double share, long now) {
        if (settings.throttle() == PolicySettings.Throttle.SHARE) {
            return share;
        }
        double[] rates =
                proxies.all().stream()
                        .map(proxy -> proxy.offeredRate(method))
                        .filter(Objects::nonNull)
                        .mapToDouble(rate -> rate.perSecond(now))
                        .sorted()
                        .toArray();
        return FairShare.limit(rates, share * Arrays.stream(rates).sum());
    }

    private void setLimit(ShardTable table, MethodId method, double limit) {
        double old = table.admissionLimit(method);
        boolean lifted = Double.isInfinite(limit);
        if (Double.isInfinite(old) != lifted || Math.abs(limit - old) > LIMIT_BAND * old) {
            table.setAdmissionLimit(method, limit, limit < URGENT_FALL * old || lifted);
        }
    }
}
