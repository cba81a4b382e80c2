package rosespread.table;

import java.util.List;
import java.util.Map;
import java.util.Set;
import rosespread.api.NodeId;

/**
 * The stored state of a table at one moment.
 *
 * @param versions oldest first, at least one; the last is the current one
 * @param retained numbers of versions that stay in the history regardless of their age
 * @param pinState the pin state as stored, see {@link PinState#persisted}
 * @param rollbackTarget the target version of a rollback in progress, 0 if none is in progress
 * @param pending the entries still to change for the rollback, weight 0 for an entry to remove
 */
public record TableSnapshot(
        List<TableVersion> versions,
        Set<Long> retained,
        PinState pinState,
        long rollbackTarget,
        Map<NodeId, Double> pending) {
    /**
     * Creates a snapshot of a table that was committed at least once.
     *
     * @throws IllegalArgumentException if there is no version
     */
    public TableSnapshot {
        if (versions.isEmpty()) {
            throw new IllegalArgumentException(
                    "table snapshot without versions; expected at least one");
        }
    }

    /** Returns the newest version. */
    public TableVersion current() {
        return versions.get(versions.size() - 1);
    }
}
