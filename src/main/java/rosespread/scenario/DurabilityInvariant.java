package rosespread.scenario;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rosespread.testbed.TrafficRecorder.TableSnapshot;

/**
 * Checks that a restarted controller still has the table versions that proxies acknowledged before
 * the restart, with the same entries, unless the versions are older than the oldest version that
 * the controller keeps. Confined to the loop's thread.
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

    /** Returns a copy of a controller's versions that proxies have acknowledged so far. */
    TableVersions acknowledged(String controller) {
        return acknowledged.getOrDefault(controller, new TableVersions()).copy();
    }

    /**
     * Compares the versions of a restarted controller with the versions acknowledged before.
     *
     * @param before versions that proxies had acknowledged when the controller ended
     * @param after versions that the controller has after its restart
     */
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
                        hasOtherDigest
                                ? " has a digest other than the acknowledged one"
                                : " is missing after the restart"));
    }
}
