package rosespread.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/**
 * Turns a round's actions into one update for each proxy concerned. It does no input or output. The
 * platform has no tables of ours: what a proxy holds is written to it for the methods concerned, as
 * changes to what was last written on its stream. Owned by the event-loop thread.
 */
final class PlatformUpdateWriter implements PolicyActions {
    /** What the policy asks for besides updates. */
    interface PolicyRequests {
        /** Checks a node's health. */
        void checkHealth(NodeId node);

        /** Watches the node list. */
        void watchNodes();

        /** Wakes the policy after so many nanoseconds. */
        void startTimer(long nanos);

        /** Reports a change of the policy's modes. */
        void report(PolicyEvent event);
    }

    /** Takes the updates of a round. */
    @FunctionalInterface
    interface UpdateSink {
        /**
         * Takes a proxy's update.
         *
         * @param policyToken what the policy wants acknowledged, {@link #NO_POLICY_TOKEN} if
         *     nothing
         */
        void send(ProxyId proxy, List<UpdatePart> parts, int policyToken);
    }

    /** Stands for a round that asks for no acknowledgement. */
    static final int NO_POLICY_TOKEN = -1;

    private final UpdatePartBuilder builder;
    private final PolicyRequests requests;
    private final ExclusionTracker exclusions;
    private final Map<TableId, WeightTable> tables = new TreeMap<>();
    private final Map<ProxyId, ProxyView> proxies = new TreeMap<>();
    private int policyToken = NO_POLICY_TOKEN;

    /**
     * Starts with no table and no proxy.
     *
     * @param methods how many methods there are
     * @param possiblyExcluded whether a node ever left or restarted, so that another controller may
     *     have excluded it
     * @param requests takes what the policy asks for besides updates
     */
    PlatformUpdateWriter(int methods, Predicate<NodeId> possiblyExcluded, PolicyRequests requests) {
        this.builder = new UpdatePartBuilder(methods);
        this.exclusions = new ExclusionTracker(possiblyExcluded, this::table);
        this.requests = requests;
    }

    /** A stream starts: whatever the proxy holds, it follows no table here. */
    void proxyJoined(ProxyId proxy) {
        proxies.put(proxy, new ProxyView());
    }

    /** A stream ended; actions for its proxy do nothing. */
    void proxyLeft(ProxyId proxy) {
        proxies.remove(proxy);
    }

    /** How many proxies follow a table. */
    int subscribedProxies() {
        return (int) proxies.values().stream().filter(ProxyView::isSubscribed).count();
    }

    /** A node's weight in the first table that names it, 0 if none does. */
    double weightOf(NodeId node) {
        return tables.values().stream()
                .filter(table -> table.contains(node))
                .mapToDouble(table -> table.weights().get(node))
                .findFirst()
                .orElse(0);
    }

    /** How many nodes are excluded from all proxies. */
    int excludedNodes() {
        return exclusions.size();
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        table(table).setWeight(node, weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        ProxyView view = proxies.get(proxy);
        if (view != null) {
            view.subscribe(table, methods);
        }
    }

    @Override
    public void setExcluded(NodeId node, boolean out) {
        exclusions.set(node, out);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        table(table).setAdmissionLimit(method, admitted);
    }

    @Override
    public void requestAcknowledgement(int policyToken) {
        this.policyToken = policyToken;
    }

    @Override
    public void checkHealth(NodeId node) {
        requests.checkHealth(node);
    }

    @Override
    public void watchNodes() {
        requests.watchNodes();
    }

    @Override
    public void startTimer(long nanos) {
        requests.startTimer(nanos);
    }

    @Override
    public void report(PolicyEvent event) {
        requests.report(event);
    }

    private WeightTable table(TableId id) {
        return tables.computeIfAbsent(id, absent -> new WeightTable());
    }

    /** Ends the round: hands out each proxy's update, and forgets what only the round concerned. */
    void finishRound(UpdateSink sink) {
        DeltaCache deltas = new DeltaCache();
        proxies.forEach(
                (proxy, view) -> {
                    List<UpdatePart> parts = parts(view, deltas);
                    view.clearPendingFull();
                    if (!parts.isEmpty()) {
                        sink.send(proxy, parts, policyToken);
                    }
                });
        tables.values().forEach(WeightTable::clearChanges);
        exclusions.clearChanges();
        policyToken = NO_POLICY_TOKEN;
    }

    private List<UpdatePart> parts(ProxyView view, DeltaCache deltas) {
        List<UpdatePart> parts = new ArrayList<>();
        view.forEachSubscription(
                (id, methods) ->
                        parts.addAll(
                                view.needsFull(id)
                                        ? builder.full(table(id), methods)
                                        : deltas.get(id, methods)));
        exclusions.takeUpdate(view).ifPresent(parts::add);
        return parts;
    }

    /**
     * Deltas of one round, built once for all proxies that follow a table with the same methods.
     */
    private final class DeltaCache {
        private final Map<List<MethodId>, Map<TableId, List<UpdatePart>>> parts =
                new LinkedHashMap<>();

        List<UpdatePart> get(TableId id, List<MethodId> methods) {
            return parts.computeIfAbsent(methods, absent -> new TreeMap<>())
                    .computeIfAbsent(id, absent -> builder.delta(table(id), methods));
        }
    }
}
