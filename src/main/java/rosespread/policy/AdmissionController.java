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

/**
 * Sheds load through admission limits when the offered load exceeds the available capacity, methods
 * of the lowest priority first.
 */
final class AdmissionController {
    /**
     * Interval between updates of the admission limits; load reports show the effect of a limit
     * only after a delay.
     */
    private static final long INTERVAL_NANOS = TimeUnits.SECOND / 2;

    /** Fraction of the available capacity that the admitted load may use. */
    private static final double TARGET_LOAD = 0.85;

    /** Relative difference from the current admission limit above which a new one replaces it. */
    private static final double LIMIT_TOLERANCE = 0.1;

    /**
     * A new admission limit below this fraction of the previous one is urgent: it is sent without
     * waiting until the proxies have acknowledged the table's delivery in flight.
     */
    private static final double URGENT_LIMIT_RATIO = 0.75;

    /** A method gets no admission limit if at least this fraction of its demand can be admitted. */
    private static final double UNLIMITED_SHARE = 0.98;

    /** Ratios of offered load to available capacity at which shedding starts and ends. */
    private static final double SHED_START_LOAD = 0.88;

    private static final double SHED_END_LOAD = 0.78;

    /**
     * Mean utilization of the nodes below which shedding does not start, however high the offered
     * load is; below {@link #SHED_END_UTILIZATION}, shedding ends.
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
    private final ColdTableLimiter coldTables;
    private long nextUpdate;
    private boolean shedding;

    AdmissionController(
            PolicySettings settings,
            NodeRegistry nodes,
            ProxyRegistry proxies,
            ShardRegistry shards,
            SlowStart slowStart,
            LoadModel model) {
        this.settings = settings;
        this.nodes = nodes;
        this.proxies = proxies;
        this.shards = shards;
        this.slowStart = slowStart;
        this.units = model.units();
        this.load = model.load();
        this.capacity = model.capacity();
        this.demands = model.demands();
        this.coldTables = model.coldTables();
    }

    /** Whether load is being shed. */
    boolean shedding() {
        return shedding;
    }

    /** Updates the admission limits if the update interval has passed. */
    void updateLimits(RoundContext round) {
        if (round.now() < nextUpdate) {
            return;
        }
        nextUpdate = round.now() + INTERVAL_NANOS;
        updateShedding(round);
        shards.tables().forEach(table -> updateLimits(table, round.now()));
    }

    /**
     * Limits the demand of tables whose warming nodes would be overloaded, as soon as such a node
     * has a committed entry, so that the entry and the limit are delivered together.
     */
    void limitColdTables(long now) {
        if (settings.throttle() != PolicySettings.Throttle.NONE) {
            coldTables.update(now).forEach(table -> updateLimits(table, now));
        }
    }

    private void updateLimits(ShardTable table, long now) {
        for (MethodId method : table.methods()) {
            double share = shedding ? admittedShare(method, now) : 1;
            double fleetLimit =
                    share >= UNLIMITED_SHARE ? Double.POSITIVE_INFINITY : limit(method, share, now);
            setLimit(table, method, Math.min(fleetLimit, coldTableLimit(table, method, now)));
        }
    }

    /**
     * Mean recent utilization of the nodes that are not warming up, weighted by capacity; NaN if no
     * such node reports its utilization. Nodes without a report count as idle, because the first
     * few reports after a start may come from the busiest nodes.
     */
    private double utilization(long now) {
        List<Node> warmNodes =
                nodes.ready().stream().filter(node -> !slowStart.warmingUp(node, now)).toList();
        if (warmNodes.stream().noneMatch(node -> node.recentUtilization().known(now))) {
            return Double.NaN;
        }
        double busyCapacity =
                warmNodes.stream()
                        .mapToDouble(
                                node -> node.recentUtilization().perSecond(now) * node.capacity())
                        .sum();
        return busyCapacity / warmNodes.stream().mapToDouble(Node::capacity).sum();
    }

    /**
     * Starts or ends load shedding. The offered load includes retries of rejected requests and
     * rises at once when proxies join, while the capacity estimate changes slowly; if the ratio of
     * offered load to capacity alone decided, shedding would sustain itself. Shedding therefore
     * also depends on the utilization that nodes report, and on a reliable capacity estimate, which
     * exists only some time after the controller starts. Shedding starts late if reports are late.
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
        boolean shouldShed =
                settings.throttle() != PolicySettings.Throttle.NONE
                        && capacity.reliable()
                        && ratio > (shedding ? SHED_END_LOAD : SHED_START_LOAD)
                        && !nodesIdle(now);
        if (shouldShed != shedding) {
            shedding = shouldShed;
            round.actions()
                    .report(new PolicyEvent.LoadSheddingChanged(shouldShed, offered, available));
        }
    }

    /** Whether the reported utilization is too low for shedding; false if no node reports any. */
    private boolean nodesIdle(long now) {
        return utilization(now) < (shedding ? SHED_END_UTILIZATION : SHED_START_UTILIZATION);
    }

    /**
     * The fraction of a method's demand that can be admitted within {@link #TARGET_LOAD} after all
     * methods of higher priority are admitted in full. Methods of equal priority get the same
     * share.
     */
    private double admittedShare(MethodId limited, long now) {
        double priority = settings.methods().get(limited.value()).priorityWeight();
        double remaining = TARGET_LOAD * load.availableCapacity(now);
        double equalPriorityDemand = 0;
        for (int m = 0; m < settings.methods().size(); m++) {
            double otherPriority = settings.methods().get(m).priorityWeight();
            remaining -= otherPriority > priority ? demands.demand(new MethodId(m), now) : 0;
            equalPriorityDemand +=
                    otherPriority == priority ? demands.demand(new MethodId(m), now) : 0;
        }
        return Math.max(0, Math.min(1, remaining / Math.max(equalPriorityDemand, 1e-9)));
    }

    /**
     * The admission limit that protects the table's warming nodes, infinite if they need none. A
     * proxy that has not reported its rate counts as offering any rate.
     */
    private double coldTableLimit(ShardTable table, MethodId method, long now) {
        double share = coldTables.admittedShare(table);
        if (share >= 1) {
            return Double.POSITIVE_INFINITY;
        }
        if (settings.throttle() == PolicySettings.Throttle.SHARE) {
            return share;
        }
        double[] rates =
                table.shard().members().stream()
                        .filter(table::isFor)
                        .map(proxy -> proxy.offeredRate(method))
                        .mapToDouble(rate -> rate == null ? Double.MAX_VALUE : rate.perSecond(now))
                        .sorted()
                        .toArray();
        return FairShare.limit(rates, share * demands.demand(method, table, now));
    }

    /**
     * The admission limit in the unit that proxies apply: the share of requests to admit, or the
     * maximum requests per second at each proxy. As this maximum is the same for all proxies, it
     * limits the busiest proxies first.
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
        double previous = table.admissionLimit(method);
        boolean lifted = Double.isInfinite(limit);
        if (Double.isInfinite(previous) != lifted
                || Math.abs(limit - previous) > LIMIT_TOLERANCE * previous) {
            table.setAdmissionLimit(method, limit, limit < URGENT_LIMIT_RATIO * previous || lifted);
        }
    }
}
