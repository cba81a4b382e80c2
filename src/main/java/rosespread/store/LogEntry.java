package rosespread.store;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drain;
import rosespread.table.PinState;
import rosespread.table.TableVersion;

/** One event in the table log, which holds events in the order of their occurrence. Immutable. */
public sealed interface LogEntry {
    /**
     * A version was committed.
     *
     * @param version the version with its changes; written as a delta from its parent
     */
    record VersionCommitted(TableVersion version) implements LogEntry {}

    /**
     * A table was pinned, is rolled back or follows the routing policy again.
     *
     * @param state the pin state as stored, see {@link PinState#persisted}
     * @param rollbackTarget the target version of a rollback in progress, 0 if none is in progress
     * @param pending the entries still to change for the rollback, weight 0 for an entry to remove
     */
    record PinChanged(
            TableId table, PinState state, long rollbackTarget, Map<NodeId, Double> pending)
            implements LogEntry {}

    /**
     * An operator's drain or its end, requested here or received from another controller.
     *
     * @param drain the drain with its stamp, so that drains may be applied in any order
     */
    record DrainChanged(Drain drain) implements LogEntry {}

    /**
     * The layout of tables changed: version numbers continue, but pins and earlier versions are no
     * longer valid.
     *
     * @param layout a digest of the settings that determine the layout of tables
     */
    record LayoutChanged(long layout) implements LogEntry {}
}
