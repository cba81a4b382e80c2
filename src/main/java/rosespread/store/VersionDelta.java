package rosespread.store;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.table.TableVersion;

/**
 * A version as it stands in the log: by what it changed of its parent. {@link LogReplay} makes the
 * whole version of it.
 *
 * @param number of the version; greater than {@code parent}
 * @param parent the number of the version that it changed
 * @param atMillis wall clock of the commit
 * @param changes new weights, 0 for a removed entry
 * @param digest of all entries after the change
 */
record VersionDelta(
        TableId table,
        long number,
        long parent,
        TableVersion.Cause cause,
        long atMillis,
        Map<NodeId, Double> changes,
        long digest) {

    /** The delta from a version's parent to it. */
    static VersionDelta of(TableVersion version) {
        return new VersionDelta(
                version.table(),
                version.number(),
                version.parent(),
                version.cause(),
                version.atMillis(),
                version.changes(),
                version.digest());
    }
}
