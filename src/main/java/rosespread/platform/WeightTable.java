package rosespread.platform;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.NodeId;

/**
 * A table as set by the policy: weight entries and admission limits, and those changed in the
 * current round. Owned by the event-loop thread. Views are sorted maps, as those are copied
 * fastest.
 */
final class WeightTable {
    private final SortedMap<NodeId, Double> weights = new TreeMap<>();
    private final SortedMap<MethodId, Double> admissionLimits = new TreeMap<>();
    private final SortedMap<NodeId, Double> changedWeights = new TreeMap<>();
    private final SortedMap<MethodId, Double> changedLimits = new TreeMap<>();

    /** Sets a node's weight; 0 removes its entry. */
    void setWeight(NodeId node, double weight) {
        if (weight > 0) {
            weights.put(node, weight);
        } else {
            weights.remove(node);
        }
        changedWeights.put(node, weight);
    }

    void setAdmissionLimit(MethodId method, double limit) {
        admissionLimits.put(method, limit);
        changedLimits.put(method, limit);
    }

    /** Ends the round: clears its changes. */
    void clearChanges() {
        changedWeights.clear();
        changedLimits.clear();
    }

    boolean contains(NodeId node) {
        return weights.containsKey(node);
    }

    /** All weight entries; a read-only view. */
    SortedMap<NodeId, Double> weights() {
        return Collections.unmodifiableSortedMap(weights);
    }

    SortedMap<MethodId, Double> admissionLimits() {
        return Collections.unmodifiableSortedMap(admissionLimits);
    }

    /** The weights set in the current round; 0 stands for a removed entry. */
    SortedMap<NodeId, Double> changedWeights() {
        return Collections.unmodifiableSortedMap(changedWeights);
    }

    SortedMap<MethodId, Double> changedLimits() {
        return Collections.unmodifiableSortedMap(changedLimits);
    }

    /** The nodes in a full update, or in a delta with this round's changes. */
    Set<NodeId> nodesOfUpdate(boolean full) {
        return full ? weights.keySet() : changedWeights.keySet();
    }
}
