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
 * The actions that the policy ordered since the last round was closed, in the order in which the
 * policy ordered them. Cleared when the round is closed.
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

    /** Returns whether the weights of any of the tables change. */
    boolean changesWeightsOfAny(Set<TableId> tables) {
        return !Collections.disjoint(tables, weights.keySet());
    }

    /** Returns the changed weights of a table, 0 for a removed entry; empty if none changed. */
    Map<NodeId, Double> weights(TableId table) {
        return weights.getOrDefault(table, Map.of());
    }

    /** Returns the changed admission limits of a table; empty if none changed. */
    Map<MethodId, Double> admissionLimits(TableId table) {
        return admissionLimits.getOrDefault(table, Map.of());
    }

    /** Returns the new subscriptions of a proxy: the methods that follow each table. */
    Map<TableId, Set<MethodId>> subscriptions(ProxyId proxy) {
        return subscriptions.getOrDefault(proxy, Map.of());
    }

    /** Returns the excluded (true) and readmitted (false) nodes. */
    Map<NodeId, Boolean> exclusions() {
        return exclusions;
    }

    boolean requestsAcknowledgement() {
        return acknowledgementToken >= 0;
    }

    /** Returns the token of the requested acknowledgement, negative if none was requested. */
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
