package rosespread.controller;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/**
 * What the policy ordered since the last round was closed, in its order. Cleared with the round.
 *
 * <p>Owned by the event-loop thread.
 */
final class RoundActions {
    private static final int NO_TOKEN = -1;

    private final Map<TableId, Map<NodeId, Double>> weights = new LinkedHashMap<>();
    private final Map<TableId, Map<MethodId, Double>> admissionLimits = new LinkedHashMap<>();
    private final Map<ProxyId, Map<TableId, Set<MethodId>>> subscriptions = new LinkedHashMap<>();
    private final Map<NodeId, Boolean> exclusions = new LinkedHashMap<>();
    private int acknowledgementToken = NO_TOKEN;

    void setWeight(TableId table, NodeId node, double weight) {
        weights.computeIfAbsent(table, key -> new LinkedHashMap<>()).put(node, weight);
    }

    void subscribe(ProxyId proxy, TableId table, Set<MethodId> methods) {
        subscriptions.computeIfAbsent(proxy, key -> new LinkedHashMap<>()).put(table, methods);
    }

    void setExcluded(NodeId node, boolean excluded) {
        exclusions.put(node, excluded);
    }

    void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        admissionLimits.computeIfAbsent(table, key -> new LinkedHashMap<>()).put(method, admitted);
    }

    void requestAcknowledgement(int token) {
        acknowledgementToken = token;
    }

    boolean changesWeights(TableId table) {
        return weights.containsKey(table);
    }

    /** Whether weights of any of the tables are changed. */
    boolean changesWeightsOfAny(Set<TableId> tables) {
        return !Collections.disjoint(tables, weights.keySet());
    }

    /** Returns the changed weights of a table, 0 for a removed entry; empty if there are none. */
    Map<NodeId, Double> weights(TableId table) {
        return weights.getOrDefault(table, Map.of());
    }

    /** Returns the changed admission limits of a table; empty if there are none. */
    Map<MethodId, Double> admissionLimits(TableId table) {
        return admissionLimits.getOrDefault(table, Map.of());
    }

    /** Returns the tables that a proxy is newly subscribed to, with their methods. */
    Map<TableId, Set<MethodId>> subscriptions(ProxyId proxy) {
        return subscriptions.getOrDefault(proxy, Map.of());
    }

    /** Returns the nodes excluded (true) and readmitted (false). */
    Map<NodeId, Boolean> exclusions() {
        return exclusions;
    }

    boolean requestsAcknowledgement() {
        return acknowledgementToken >= 0;
    }

    /** Returns the token that proxies are to acknowledge, negative if none was asked for. */
    int acknowledgementToken() {
        return acknowledgementToken;
    }

    void clear() {
        weights.clear();
        admissionLimits.clear();
        subscriptions.clear();
        exclusions.clear();
        acknowledgementToken = NO_TOKEN;
    }
}
