package rosespread.scenario;

import java.util.Map;
import java.util.TreeMap;
import rosespread.testbed.TrafficRecorder.TableSnapshot;

/** Checks that a table's version at a proxy never decreases. Confined to the loop's thread. */
final class VersionOrderInvariant {
    private final InvariantResult result = new InvariantResult("versionsRise", 0);
    private final RunTimeline timeline;
    private final Map<String, Map<Integer, Long>> versionsByProxy = new TreeMap<>();

    VersionOrderInvariant(RunTimeline timeline) {
        this.timeline = timeline;
    }

    InvariantResult result() {
        return result;
    }

    /** Records the versions that a proxy holds when it joins. */
    void proxyJoined(String proxy, Map<Integer, Long> heldVersions) {
        versionsByProxy.put(proxy, new TreeMap<>(heldVersions));
    }

    void tableChanged(long nanos, String proxy, TableSnapshot held) {
        result.countCheck();
        Long before =
                versionsByProxy
                        .computeIfAbsent(proxy, name -> new TreeMap<>())
                        .put(held.table(), held.version());
        if (before != null && held.version() < before) {
            result.recordViolation(
                    String.format(
                            "%s at %s: table %d went back from version %d to %d",
                            proxy, timeline.describe(nanos), held.table(), before, held.version()));
        }
    }
}
