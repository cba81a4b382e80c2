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
 * Commits a round's changes of all tables as versions. The policy's changes are committed as
 * ordered if they pass validation. The validator's replacements for refused changes and the changes
 * of pinned tables are committed as far as the channel has capacity beside the policy's messages.
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

    /** Commits the changes of each table; returns the deltas to send, in the order of table ids. */
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
     * Returns whether a table has to be reviewed, that is, validated again and its changes
     * committed, and marks the table as reviewed if so. A review is due if the policy changed the
     * table's weights, or if {@link #needsReviews} and {@link ManagedTable#isReviewDue} both return
     * true.
     */
    private boolean isReviewDue(ManagedTable table, RoundActions actions, long nowNanos) {
        boolean due =
                actions.changesWeights(table.id())
                        || needsReviews(table)
                                && table.isReviewDue(
                                        nowNanos, REVIEW_INTERVAL_NANOS, facts.version());
        if (due) {
            table.markReviewed(nowNanos, facts.version());
        }
        return due;
    }

    /**
     * Returns whether a table needs reviews although the policy did not change its weights: the
     * table does not follow the policy, and the node list, which tells the entries that must be
     * removed, is known.
     */
    private boolean needsReviews(ManagedTable table) {
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
        boolean followsPolicy = table.pin() == PinState.NONE;
        if (!followsPolicy) {
            table.acceptedTotals().invalidate();
        }
        Map<NodeId, Double> changes = actions.weights(table.id());
        TableChangeValidator.ValidationResult result = validation.validate(table, changes, context);
        boolean passed = result.refusals().isEmpty();
        Map<NodeId, Double> delta =
                followsPolicy && passed
                        ? changes
                        : replacement(table, result.entries(), context, time.nowNanos());
        return registry.commit(
                table,
                delta,
                passed ? TableVersion.Cause.MODULE : TableVersion.Cause.GUARD,
                time.wallMillis());
    }

    /**
     * Returns the changes from the committed weights to the given weights, which the policy did not
     * order in this round, as far as the channel has capacity now. The remaining changes are left
     * to later rounds.
     */
    private Map<NodeId, Double> replacement(
            ManagedTable table,
            Map<NodeId, Double> weights,
            TableChangeValidator.ValidationContext context,
            long nowNanos) {
        table.acceptedTotals().invalidate();
        Map<NodeId, Double> replacements = table.current().changesTo(weights);
        Map<NodeId, Double> selected = selector.select(table, replacements, context, nowNanos);
        if (selected.size() < replacements.size()) {
            table.deferCatchUp();
        }
        return selected;
    }

    /**
     * Commits only the removals and weight limits of {@link TableValidation#retain}, for a table
     * whose weights the policy has not set yet.
     */
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
