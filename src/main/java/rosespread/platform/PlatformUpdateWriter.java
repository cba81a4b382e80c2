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
 * Turns a round's actions into one update for each affected proxy. Performs no I/O. The platform's
 * protocol has no tables: a table's entries are written to each proxy for the methods that follow
 * the table, as changes to the entries last written on its stream. Owned by the event-loop thread.
 */
final class PlatformUpdateWriter implements PolicyActions {
    /** The policy's requests other than updates. */
    interface PolicyRequests {
        /** Checks a node's health. */
        void checkHealth(NodeId node);

        /** Watches the node list. */
        void watchNodes();

        /** Calls the policy again after this many nanoseconds. */
        void startTimer(long nanos);

        /** Reports a change of the policy's modes. */
        void report(PolicyEvent event);
    }

    /** Receives the updates of a round. */
    @FunctionalInterface
    interface UpdateSink {
        /**
         * Receives a proxy's update.
         *
         * @param policyToken the policy's token to be acknowledged, {@link #NO_POLICY_TOKEN} if
         *     none
         */
        void send(ProxyId proxy, List<UpdatePart> parts, int policyToken);
    }

    /** The token of a round that asks for no acknowledgement. */
    static final int NO_POLICY_TOKEN = -1;

    private final UpdatePartBuilder builder;
    private final PolicyRequests requests;
    private final ExclusionTracker exclusions;
    private final Map<TableId, WeightTable> tables = new TreeMap<>();
    private final Map<ProxyId, ProxyView> proxies = new TreeMap<>();
    private int policyToken = NO_POLICY_TOKEN;

    /**
     * Starts without tables and proxies.
     *
     * @param methods the number of methods
     * @param possiblyExcluded whether a node ever left or restarted, so that another controller may
     *     have excluded it
     * @param requests receives the policy's requests other than updates
     */
    PlatformUpdateWriter(int methods, Predicate<NodeId> possiblyExcluded, PolicyRequests requests) {
        this.builder = new UpdatePartBuilder(methods);
        this.exclusions = new ExclusionTracker(possiblyExcluded, this::table);
        this.requests = requests;
    }

    /**
     * Starts a proxy's stream; the proxy follows no table on this stream yet, even if it still
     * holds tables from an earlier stream.
     */
    void proxyJoined(ProxyId proxy) {
        proxies.put(proxy, new ProxyView());
    }

    /** Ends a proxy's stream; further actions for the proxy do nothing. */
    void proxyLeft(ProxyId proxy) {
        proxies.remove(proxy);
    }

    /** The number of proxies that follow a table. */
    int subscribedProxies() {
        return (int) proxies.values().stream().filter(ProxyView::isSubscribed).count();
    }

    /** A node's weight in the first table that contains it, 0 if none does. */
    double weightOf(NodeId node) {
        return tables.values().stream()
                .filter(table -> table.contains(node))
                .mapToDouble(table -> table.weights().get(node))
                .findFirst()
                .orElse(0);
    }

    /** The number of nodes excluded from all proxies. */
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
    public void setExcluded(NodeId node, boolean excluded) {
        exclusions.set(node, excluded);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double limit) {
        table(table).setAdmissionLimit(method, limit);
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

    /** Ends the round: passes each proxy's update to the sink and clears the round's changes. */
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
