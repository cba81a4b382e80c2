package rosespread.store;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drain;
import rosespread.table.PinState;
import rosespread.table.TableVersion;

/** One event of the table log, in the order in which it happened. Immutable. */
public sealed interface LogEntry {
    /**
     * A version was committed.
     *
     * @param version with what it changed; written as a delta to its parent
     */
    record VersionCommitted(TableVersion version) implements LogEntry {}

    /**
     * A table was pinned, is rolled back or follows the routing policy again.
     *
     * @param state what is persisted of the pin, see {@link PinState#persisted}
     * @param rollbackTarget the version that the table goes back to, 0 if none
     * @param pending entries that it still has to change for that, weight 0 for one to remove
     */
    record PinChanged(
            TableId table, PinState state, long rollbackTarget, Map<NodeId, Double> pending)
            implements LogEntry {}

    /**
     * An operator's drain or its end, given here or learnt from another controller.
     *
     * @param drain with its stamp, so that it may be applied in any order
     */
    record DrainChanged(Drain drain) implements LogEntry {}

    /**
     * From here on tables are laid out another way: version numbers go on, but pins and earlier
     * versions mean nothing any more.
     *
     * @param layout a digest of the settings that tables are laid out by
     */
    record LayoutChanged(long layout) implements LogEntry {}
}
