package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.table.PinState;
import rosespread.table.TableVersion;
import rosespread.validation.TableChangeValidator;

/**
 * Commits a round's changes of all tables as versions. The policy's own changes are committed as
 * ordered if they pass validation; what the validator puts in their place, and what pinned tables
 * send, goes as far as there is capacity beside the policy's messages.
 *
 * <p>Used on the event-loop thread.
 */
final class TableCommitter {
    private static final long REVIEW_INTERVAL_NANOS = 50_000_000L;

    private final TableRegistry registry;
    private final NodeFacts facts;
    private final RoundCapacity capacity;
    private final TableValidation validation;
    private final DeltaSelector selector;
    private final PinnedTableCommitter pinnedTables;

    TableCommitter(
            TableRegistry registry,
            NodeFacts facts,
            RoundCapacity capacity,
            TableValidation validation,
            ModeLog modes) {
        this.registry = registry;
        this.facts = facts;
        this.capacity = capacity;
        this.validation = validation;
        this.selector = new DeltaSelector(capacity);
        this.pinnedTables = new PinnedTableCommitter(registry, validation, selector, modes);
    }

    /** Commits what goes out of each table; returns the deltas to send, in the tables' order. */
    Map<TableId, Frame.Lines> commitRound(RoundActions actions, RoundTime time) {
        capacity.startRound(actions, time.nowNanos());
        Map<TableId, Frame.Lines> deltas = new TreeMap<>();
        for (ManagedTable table : registry.tables()) {
            TableVersion before = table.current();
            TableVersion next =
                    isReviewDue(table, actions, time.nowNanos())
                            ? commit(table, actions, time)
                            : before;
            if (next.number() != table.sentVersion()) {
                Frame.Lines delta = delta(table, next, next != before);
                deltas.put(table.id(), delta);
                table.markSent(next.number());
                capacity.reserve(
                        delta.lines().size(),
                        actions.requestsAcknowledgement() && actions.changesWeights(table.id()),
                        capacity.subscribers(table.id()).size());
            }
        }
        return deltas;
    }

    private static Frame.Lines delta(ManagedTable table, TableVersion next, boolean committedNow) {
        List<Frame.Line> changes = new ArrayList<>();
        if (committedNow) {
            next.changes().forEach((node, weight) -> changes.add(new Frame.Line(node, weight)));
        }
        return new Frame.Lines(
                table.id(), table.sentVersion(), next.number(), next.digest(), changes);
    }

    /**
     * Whether a table has to be looked at: the policy changed it, or it does not follow the policy
     * and the node list can tell what must go.
     */
    private boolean isReviewDue(ManagedTable table, RoundActions actions, long nowNanos) {
        boolean due =
                actions.changesWeights(table.id())
                        || followsFacts(table)
                                && table.isReviewDue(
                                        nowNanos, REVIEW_INTERVAL_NANOS, facts.version());
        if (due) {
            table.markReviewed(nowNanos, facts.version());
        }
        return due;
    }

    private boolean followsFacts(ManagedTable table) {
        return facts.isListKnown()
                && (table.pin() != PinState.NONE
                        || table.isAwaitingPolicy() && !table.current().entries().isEmpty());
    }

    private TableVersion commit(ManagedTable table, RoundActions actions, RoundTime time) {
        TableChangeValidator.ValidationContext context = validation.context(table);
        return switch (table.pin()) {
            case PINNED -> pinnedTables.commitPinned(table, context, time);
            case RELEASING -> pinnedTables.commitReleaseStep(table, context, time);
            default ->
                    table.isAwaitingPolicy()
                            ? commitRetained(table, context, time)
                            : commitDesired(table, actions, context, time);
        };
    }

    private TableVersion commitDesired(
            ManagedTable table,
            RoundActions actions,
            TableChangeValidator.ValidationContext context,
            RoundTime time) {
        boolean followed = table.pin() == PinState.NONE;
        if (!followed) {
            table.acceptedTotals().forget();
        }
        Map<NodeId, Double> changes = actions.weights(table.id());
        TableChangeValidator.ValidationResult result = validation.validate(table, changes, context);
        boolean passed = result.refusals().isEmpty();
        Map<NodeId, Double> delta =
                followed && passed
                        ? changes
                        : replacement(table, result.lines(), context, time.nowNanos());
        return registry.commit(
                table,
                delta,
                passed ? TableVersion.Cause.MODULE : TableVersion.Cause.GUARD,
                time.wallMillis());
    }

    /** Returns the changes that may leave now towards weights that the policy did not order. */
    private Map<NodeId, Double> replacement(
            ManagedTable table,
            Map<NodeId, Double> weights,
            TableChangeValidator.ValidationContext context,
            long nowNanos) {
        table.acceptedTotals().forget();
        Map<NodeId, Double> all = table.current().changesTo(weights);
        Map<NodeId, Double> selected = selector.select(table, all, context, nowNanos);
        if (selected.size() < all.size()) {
            table.deferCatchUp();
        }
        return selected;
    }

    /** Until the policy has set a weight of the table, only entries that may not stay go. */
    private TableVersion commitRetained(
            ManagedTable table, TableChangeValidator.ValidationContext context, RoundTime time) {
        TableVersion current = table.current();
        Map<NodeId, Double> delta =
                current.changesTo(validation.retain(current.entries(), context));
        return registry.commit(
                table,
                selector.select(table, delta, context, time.nowNanos()),
                TableVersion.Cause.GUARD,
                time.wallMillis());
    }
}
