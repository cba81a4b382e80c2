package rosespread.store;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drain;
import rosespread.table.PinState;
import rosespread.table.TableVersion;

/** What is kept as it happens, in the order in which it happened. */
public sealed interface LogEntry {
    /** A version was committed. */
    record VersionCommitted(TableVersion version) implements LogEntry {}

    /**
     * A table is held, goes back to a version ({@code to}, 0 if to none) by changing these lines,
     * or follows the module.
     */
    record PinChanged(TableId table, PinState state, long rollbackTarget, Map<NodeId, Double> pending)
            implements LogEntry {}

    /** An operator's word on a node, given here or heard of. */
    record DrainChanged(Drain drain) implements LogEntry {}

    /**
     * From here on tables are laid out another way: numbers go on, but holds and earlier versions
     * mean nothing any more. {@code layout} is a digest of what tables are laid out by.
     */
    record LayoutChanged(long layout) implements LogEntry {}
}
