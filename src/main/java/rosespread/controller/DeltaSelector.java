package rosespread.controller;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator;

/**
 * Selects the weight changes to send now among those that the policy did not order in this round:
 * rollbacks, releases, and the validator's replacements for refused changes. These changes may use
 * only the channel capacity that is not reserved for the policy's own messages, see {@link
 * RoundCapacity}.
 *
 * <p>Used on the event-loop thread.
 */
final class DeltaSelector {
    private final RoundCapacity capacity;

    DeltaSelector(RoundCapacity capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns as many of the changes as the channel has capacity for now: first the urgent changes,
     * then those that change a weight most. Returns none if the message limit does not allow a
     * message to each subscribed proxy, and all changes if no proxy is subscribed to the table.
     */
    Map<NodeId, Double> select(
            ManagedTable table,
            Map<NodeId, Double> delta,
            TableChangeValidator.ValidationContext context,
            long nowNanos) {
        List<ProxySession> subscribers = capacity.subscribers(table.id());
        if (subscribers.isEmpty() || delta.isEmpty()) {
            return delta;
        }
        Map<NodeId, Double> committed = table.current().entries();
        boolean urgent =
                delta.entrySet().stream().anyMatch(change -> isUrgent(change, committed, context));
        boolean writable =
                subscribers.stream()
                        .allMatch(
                                session ->
                                        capacity.allowsMessage(
                                                session, nowNanos, urgent || table.isPinned()));
        if (!writable) {
            return Map.of();
        }
        Map<NodeId, Double> selected = new TreeMap<>();
        delta.entrySet().stream()
                .sorted(
                        Comparator.comparing(
                                        (Map.Entry<NodeId, Double> change) ->
                                                !isUrgent(change, committed, context))
                                .thenComparing(change -> -changeSize(change, committed)))
                .limit(capacity.availableEntries(subscribers.size(), urgent))
                .forEach(change -> selected.put(change.getKey(), change.getValue()));
        return selected;
    }

    private static double changeSize(
            Map.Entry<NodeId, Double> change, Map<NodeId, Double> committed) {
        return Math.abs(change.getValue() - committed.getOrDefault(change.getKey(), 0.0));
    }

    /**
     * Whether a change is urgent and may therefore use a larger share of the channel capacity and
     * of the message limit: the node drains or is gone, or the node is warming up and its weight
     * decreases.
     */
    private static boolean isUrgent(
            Map.Entry<NodeId, Double> change,
            Map<NodeId, Double> committed,
            TableChangeValidator.ValidationContext context) {
        TableChangeValidator.NodeFact fact = context.nodes().get(change.getKey());
        if (change.getValue() == 0) {
            return fact == null || fact.leaving();
        }
        return fact != null
                && fact.warmth() < 1
                && change.getValue() < committed.getOrDefault(change.getKey(), 0.0);
    }
}
