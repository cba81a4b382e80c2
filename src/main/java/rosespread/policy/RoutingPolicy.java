package rosespread.policy;

import java.util.random.RandomGenerator;
import rosespread.api.EventSource;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.PolicySettings;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;
import rosespread.stats.InFlightMessages;

/**
 * Makes all decisions of one controller. The caller creates one policy per controller and calls
 * {@link #round} once per round with all events received since the previous round; the policy
 * writes its actions directly to the given writer. With the same seed, the same events at the same
 * times give the same actions, to the last digit.
 *
 * <p>Each table has one pending delivery, which collects significant weight changes, and one
 * delivery in flight, which is complete once the proxies have acknowledged it. Proxies that do not
 * acknowledge in time are subscribed again. This class defines only the order of steps in a round.
 * Not thread-safe.
 */
public final class RoutingPolicy {
    /** Interval at which the policy evaluates load and health, even if no events arrive. */
    private static final long EVALUATION_INTERVAL_NANOS = TimeUnits.SECOND / 10;

    private final PolicySettings settings;
    private final NodeRegistry nodes = new NodeRegistry();
    private final ProxyRegistry proxies = new ProxyRegistry();
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final CapacityUnits units = new CapacityUnits();
    private final DemandEstimator demands = new DemandEstimator(proxies);
    private final InFlightMessages inFlight = new InFlightMessages();
    private final RoundTriggers triggers = new RoundTriggers();
    private final PolicyEventHandler events;
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;
    private final HealthCheckScheduler healthChecks;
    private final AdmissionController admission;
    private final ReconnectHandler reconnects;
    private final TablePlanner planner;
    private final AcknowledgementTracker acknowledgements;
    private final DeliveryScheduler deliveries;
    private final ProxySubscriber subscriber;
    private final OutgoingRound outgoing;
    private boolean started;

    /**
     * Creates a policy that knows no node and no proxy.
     *
     * @param settings settings that the controller receives at startup
     * @param random spreads health checks over time; used by this policy only
     */
    public RoutingPolicy(PolicySettings settings, RandomGenerator random) {
        this.settings = settings;
        shards = new ShardRegistry(settings);
        triggers.requirePlan();
        SlowStart slowStart = new SlowStart(settings);
        eligible = new EligibleNodes(nodes, slowStart);
        ReportWindows windows = new ReportWindows(settings);
        outliers = new OutlierDetector(nodes, shards, eligible, windows);
        healthChecks = new HealthCheckScheduler(settings, nodes, random);
        LoadEstimator load = new LoadEstimator(nodes, shards, eligible, slowStart, outliers, units);
        capacity = new CapacityEstimator(nodes, windows, units, load);
        ColdTableLimiter coldTables =
                new ColdTableLimiter(nodes, shards, eligible, slowStart, units, demands);
        LoadModel model = new LoadModel(units, load, capacity, demands, coldTables);
        admission = new AdmissionController(settings, nodes, proxies, shards, slowStart, model);
        planner = new TablePlanner(settings, proxies, shards, eligible, slowStart, model);
        outgoing = new OutgoingRound(settings, proxies, inFlight);
        ChannelBudget budget = new ChannelBudget(settings, inFlight, outgoing);
        acknowledgements = new AcknowledgementTracker(settings, proxies, shards, inFlight, budget);
        ShardAssigner assigner = new ShardAssigner(settings, shards, eligible, budget, triggers);
        DepartedNodes departed = new DepartedNodes(nodes);
        reconnects =
                new ReconnectHandler(
                        settings, nodes, proxies, shards, eligible, departed, budget, assigner);
        PendingChanges changes = new PendingChanges(nodes, slowStart);
        NodeExclusions exclusions =
                new NodeExclusions(proxies, shards, budget, outgoing, reconnects);
        TableUpdateSender sender =
                new TableUpdateSender(settings, nodes, changes, budget, outgoing, exclusions);
        deliveries =
                new DeliveryScheduler(
                        settings,
                        proxies,
                        shards,
                        changes,
                        departed,
                        budget,
                        outgoing,
                        reconnects,
                        sender);
        subscriber =
                new ProxySubscriber(
                        settings, proxies, shards, changes, budget, outgoing, reconnects, sender);
        events =
                new PolicyEventHandler(
                        nodes,
                        proxies,
                        assigner,
                        eligible,
                        slowStart,
                        units,
                        windows,
                        healthChecks,
                        acknowledgements,
                        triggers);
    }

    /**
     * Decides one round. Proxies keep the tables that they bring until a node has been listed.
     *
     * @param now clock reading in nanoseconds, not less than that of the previous round
     * @param source delivers the events received since the previous round
     * @param actions receives the decisions; those of one round form one message per proxy
     */
    public void round(long now, EventSource source, PolicyActions actions) {
        RoundContext round = new RoundContext(now, actions);
        eligible.invalidate();
        source.deliverTo(events.forRound(now));
        demands.invalidate();
        if (settings.keyRangeTables()) {
            ignoreKeyRangeTables(actions);
            return;
        }
        start(actions);
        evaluate(round);
        reconnects.evaluate(now);
        if (triggers.takePlanNeeded()) {
            planner.commitAll(now);
            admission.limitColdTables(now);
        }
        acknowledgements.handleTimeouts(round);
        deliveries.deliverPending(round);
        if (!nodes.all().isEmpty()) {
            subscriber.subscribeWaiting(round);
        }
        outgoing.close(round);
    }

    /**
     * Number of entries that count as queued in the channel; deliveries wait while it is near the
     * queue limit.
     */
    public double queuedEntries() {
        return inFlight.entries();
    }

    private void ignoreKeyRangeTables(PolicyActions actions) {
        if (!started) {
            actions.report(new PolicyEvent.KeyRangeTablesIgnored());
        }
        started = true;
    }

    private void start(PolicyActions actions) {
        boolean listLost = triggers.takeNodeListLost();
        if (settings.listOnDemand() && (!started || listLost)) {
            actions.watchNodes();
        }
        if (!started) {
            triggers.requireEvaluation();
        }
        started = true;
    }

    /**
     * Evaluates load and health if required. Invalidates the counts of pending entries before each
     * evaluation or plan, as either may change which entries are urgent.
     */
    private void evaluate(RoundContext round) {
        if (triggers.evaluationNeeded()) {
            triggers.requirePlan();
        }
        if (triggers.planNeeded()) {
            shards.tables().forEach(ShardTable::invalidatePendingCounts);
        }
        if (triggers.takeEvaluationNeeded()) {
            round.actions().startTimer(EVALUATION_INTERVAL_NANOS);
            capacity.estimate(round.now(), admission.shedding());
            outliers.evaluate(round);
            healthChecks.scheduleDue(round);
            admission.updateLimits(round);
        }
    }
}
