package rosespread.controller;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.table.PinState;
import rosespread.table.TableVersion;
import rosespread.validation.TableChangeValidator;

/**
 * Commits the changes of tables that an operator pinned, rolled back or released: the pending
 * changes of a rollback, and the steps of a release from the pinned weights to the weights that the
 * policy desires.
 *
 * <p>Used on the event-loop thread.
 */
final class PinnedTableCommitter {
    private static final long RELEASE_STEP_INTERVAL_NANOS = 1_000_000_000L;

    private final TableRegistry registry;
    private final TableValidation validation;
    private final DeltaSelector selector;
    private final ModeLog modes;

    PinnedTableCommitter(
            TableRegistry registry,
            TableValidation validation,
            DeltaSelector selector,
            ModeLog modes) {
        this.registry = registry;
        this.validation = validation;
        this.selector = selector;
        this.modes = modes;
    }

    /**
     * Commits the changes of a pinned table that the channel has capacity for now: those of a
     * rollback in progress, and the removals and weight limits of {@link TableValidation#retain}.
     */
    TableVersion commitPinned(
            ManagedTable table, TableChangeValidator.ValidationContext context, RoundTime time) {
        Map<NodeId, Double> target = validation.retain(table.weightsAfterPending(), context);
        Map<NodeId, Double> changes = table.current().changesTo(target);
        Map<NodeId, Double> delta = selector.select(table, changes, context, time.nowNanos());
        TableVersion next =
                registry.commit(table, delta, TableVersion.Cause.ROLLBACK, time.wallMillis());
        table.removePending(delta.keySet());
        if (table.rollbackTarget() > 0 && delta.size() == changes.size()) {
            registry.setPin(table, PinState.PINNED, 0, Map.of());
        }
        return next;
    }

    /**
     * Commits one step of a release towards the weights that the policy desires, as far as the
     * channel has capacity. If less than {@link #RELEASE_STEP_INTERVAL_NANOS} passed since the last
     * step, or the policy has not set a weight of the table yet, commits only the removals and
     * weight limits of {@link TableValidation#retain}. Once the table has the desired weights, it
     * follows the policy again.
     */
    TableVersion commitReleaseStep(
            ManagedTable table, TableChangeValidator.ValidationContext context, RoundTime time) {
        TableVersion current = table.current();
        boolean stepDue = table.isReleaseStepDue(time.nowNanos(), RELEASE_STEP_INTERVAL_NANOS);
        Map<NodeId, Double> target =
                stepDue && !table.isAwaitingPolicy()
                        ? validation.stepTowardsDesired(table, context)
                        : validation.retain(current.entries(), context);
        Map<NodeId, Double> delta =
                selector.select(table, current.changesTo(target), context, time.nowNanos());
        if (stepDue) {
            table.markReleaseStep(time.nowNanos());
        }
        if (!table.isAwaitingPolicy() && current.changesTo(table.desired()).isEmpty()) {
            registry.setPin(table, PinState.NONE, 0, Map.of());
            modes.report(
                    "table "
                            + table.id().value()
                            + " follows the routing policy again from version "
                            + current.number());
        }
        return registry.commit(table, delta, TableVersion.Cause.ROLLBACK, time.wallMillis());
    }
}
