package rosespread.table;

import java.util.List;
import java.util.Map;
import java.util.Set;
import rosespread.api.NodeId;

/**
 * A table at one moment, as it is kept on disk.
 *
 * @param versions oldest first, the last one is out
 * @param kept numbers that stay whatever their age
 * @param to the version that a pinned table still goes back to, 0 if it has arrived
 * @param pending the lines that it still has to change for that, weight 0 for one that goes
 */
public record TableSnapshot(
        List<TableVersion> versions,
        Set<Long> retained,
        PinState pinState,
        long rollbackTarget,
        Map<NodeId, Double> pending) {
    /** What an image holds must be what is out: a table that was never committed has none. */
    public TableSnapshot {
        if (versions.isEmpty()) {
            throw new IllegalArgumentException("no version");
        }
    }

    public TableVersion current() {
        return versions.get(versions.size() - 1);
    }
}
