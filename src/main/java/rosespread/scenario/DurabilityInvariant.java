package rosespread.scenario;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rosespread.testbed.TrafficRecorder.TableSnapshot;

/**
 * A restarted controller still has the versions that proxies acknowledged before, with the same
 * entries, unless they are older than the oldest that it keeps. Confined to the loop's thread.
 */
final class DurabilityInvariant {
    private final InvariantResult result = new InvariantResult("answersKept", 0);
    private final RunTimeline timeline;
    private final Map<String, TableVersions> acknowledged = new TreeMap<>();

    DurabilityInvariant(RunTimeline timeline) {
        this.timeline = timeline;
    }

    InvariantResult result() {
        return result;
    }

    void tableChanged(String controller, TableSnapshot held) {
        acknowledged
                .computeIfAbsent(controller, c -> new TableVersions())
                .add(held.table(), held.version(), held.digest());
    }

    /** A copy of the versions of a controller that proxies have acknowledged by now. */
    TableVersions acknowledged(String controller) {
        return acknowledged.getOrDefault(controller, new TableVersions()).copy();
    }

    /** A controller that ended and started again has these versions. */
    void controllerRestored(
            long nanos, String controller, TableVersions before, TableVersions after) {
        before.forEach(
                (table, versions) ->
                        versions.forEach(
                                (version, digest) -> {
                                    result.countCheck();
                                    Optional<Long> restored = after.digest(table, version);
                                    if (!after.isOlderThanHeld(table, version)
                                            && !restored.equals(Optional.of(digest))) {
                                        recordLoss(
                                                nanos,
                                                controller,
                                                table,
                                                version,
                                                restored.isPresent());
                                    }
                                }));
    }

    private void recordLoss(
            long nanos, String controller, int table, long version, boolean hasOtherDigest) {
        result.recordViolation(
                String.format(
                        "%s at %s: version %d of table %d%s",
                        controller,
                        timeline.describe(nanos),
                        version,
                        table,
                        hasOtherDigest ? " has other lines" : " is forgotten"));
    }
}
