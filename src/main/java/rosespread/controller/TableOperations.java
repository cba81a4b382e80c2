package rosespread.controller;

import java.util.Map;
import java.util.Optional;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.table.PinState;
import rosespread.table.TableVersion;

/**
 * Performs operators' acts on tables: rollback, pin and release.
 *
 * <p>Used on the event-loop thread.
 */
final class TableOperations {
    private final TableRegistry registry;
    private final NodeFacts facts;
    private final TableValidation validation;
    private final ModeLog modes;

    TableOperations(
            TableRegistry registry, NodeFacts facts, TableValidation validation, ModeLog modes) {
        this.registry = registry;
        this.facts = facts;
        this.validation = validation;
        this.modes = modes;
    }

    /**
     * Pins a table to the weights of a retained version. The weights are committed as new versions,
     * as far as the channel has capacity. Entries for nodes that are draining, gone or unknown are
     * left out, and the weights of nodes that are warming up are limited. A later rollback replaces
     * an earlier one. A delta in flight needs no handling: a stream is ordered, so proxies apply
     * the rollback after that delta.
     */
    TableActResult rollback(TableId id, long version) {
        Optional<ManagedTable> table = registry.existing(id);
        if (table.isEmpty()) {
            return unknownTable(id, "");
        }
        Optional<TableVersion> target = table.get().history().version(version);
        if (target.isEmpty()) {
            return new TableActResult.Rejected(
                    TableActResult.Reason.UNKNOWN_VERSION,
                    "table " + id.value() + " has no version " + version + " any more");
        }
        rollback(table.get(), target.get());
        return TableActResult.DONE;
    }

    private void rollback(ManagedTable table, TableVersion target) {
        Map<NodeId, Double> weights =
                facts.isListKnown()
                        ? validation.retain(target.entries(), validation.context(table))
                        : target.entries();
        registry.setPin(
                table, PinState.PINNED, target.number(), table.current().changesTo(weights));
        modes.report(
                "table "
                        + table.id().value()
                        + " is rolled back to version "
                        + target.number()
                        + ": "
                        + table.pending().size()
                        + " lines change");
    }

    /** Pins a table to its committed weights. */
    TableActResult pin(TableId id) {
        Optional<ManagedTable> table = registry.existing(id);
        if (table.isEmpty()) {
            return unknownTable(id, "");
        }
        if (table.get().history().isEmpty()) {
            return unknownTable(id, " yet");
        }
        registry.setPin(table.get(), PinState.PINNED, 0, Map.of());
        modes.report(
                "table " + id.value() + " is pinned at version " + table.get().current().number());
        return TableActResult.DONE;
    }

    /**
     * Unpins a table: its weights change in steps to those that the policy desires, and then follow
     * the policy.
     */
    TableActResult release(TableId id) {
        Optional<ManagedTable> table = registry.existing(id).filter(ManagedTable::isPinned);
        if (table.isEmpty()) {
            return new TableActResult.Rejected(
                    TableActResult.Reason.NOT_PINNED, "table " + id.value() + " is not held");
        }
        registry.setPin(table.get(), PinState.RELEASING, 0, Map.of());
        modes.report(
                "table "
                        + id.value()
                        + " is being released: its weights move to the routing policy's, step by step");
        return TableActResult.DONE;
    }

    private static TableActResult unknownTable(TableId id, String suffix) {
        return new TableActResult.Rejected(
                TableActResult.Reason.UNKNOWN_TABLE, "no table " + id.value() + suffix);
    }
}
