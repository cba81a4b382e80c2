package rosespread.table;

import java.util.List;
import java.util.Map;
import java.util.Set;
import rosespread.api.NodeId;

/**
 * A table at one moment, as it is stored.
 *
 * @param versions oldest first, at least one; the last is the current one
 * @param retained numbers of versions that stay in the history whatever their age
 * @param pinState what is persisted of the pin, see {@link PinState#persisted}
 * @param rollbackTarget the version that a pinned table still goes back to, 0 if it has arrived
 * @param pending the entries that it still has to change for that, weight 0 for one to remove
 */
public record TableSnapshot(
        List<TableVersion> versions,
        Set<Long> retained,
        PinState pinState,
        long rollbackTarget,
        Map<NodeId, Double> pending) {
    /**
     * A snapshot of a table that was committed at least once.
     *
     * @throws IllegalArgumentException if there is no version
     */
    public TableSnapshot {
        if (versions.isEmpty()) {
            throw new IllegalArgumentException("no version");
        }
    }

    /** The newest version. */
    public TableVersion current() {
        return versions.get(versions.size() - 1);
    }
}
