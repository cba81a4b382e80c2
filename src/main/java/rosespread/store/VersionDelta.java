package rosespread.store;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.table.TableVersion;

/**
 * A version as stored in the log: its changes from its parent. {@link LogReplay} applies them to
 * the parent's entries.
 *
 * @param number the version's number; greater than {@code parent}
 * @param parent the number of the version that this one changed
 * @param atMillis the wall clock of the commit
 * @param changes new weights, 0 for a removed entry
 * @param digest the digest of all entries after the change
 */
record VersionDelta(
        TableId table,
        long number,
        long parent,
        TableVersion.Cause cause,
        long atMillis,
        Map<NodeId, Double> changes,
        long digest) {

    /** Returns the delta from a version's parent to the version. */
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
