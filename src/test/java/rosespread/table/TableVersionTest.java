package rosespread.table;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/** Entries, changes and digests of versions over random histories of commits. */
class TableVersionTest {
    @Property(seed = "1")
    void keepsEntriesDigestsAndChangesOfVersionsConsistent(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 59) Integer> steps) {
        VersionHistory history = new VersionHistory(new TableId(1), 0);
        TreeMap<NodeId, Double> model = new TreeMap<>();
        List<Map<NodeId, Double>> models = new ArrayList<>();
        List<TableVersion> versions = new ArrayList<>();
        for (int step : steps) {
            NodeId node = new NodeId(step % 6);
            double weight = step / 6 % 5 / 4.0;
            TableVersion before = history.current();
            TableVersion after =
                    history.commit(Map.of(node, weight), TableVersion.Cause.MODULE, step);
            Double old = weight > 0 ? model.put(node, weight) : model.remove(node);
            boolean unchanged = old == null ? weight == 0 : old == weight;
            assertEquals(unchanged ? before.number() : before.number() + 1, after.number());
            models.add(new TreeMap<>(model));
            versions.add(after);
        }
        for (int i = 0; i < versions.size(); i++) {
            TableVersion version = versions.get(i);
            assertEquals(models.get(i), new TreeMap<>(version.entries()));
            assertEquals(TableDigest.of(models.get(i)), version.digest());
            assertChangesLeadTo(history.current(), version, history);
        }
    }

    private static void assertChangesLeadTo(
            TableVersion last, TableVersion version, VersionHistory history) {
        Map<NodeId, Double> changes = version.changesTo(last.entries());
        if (version.number() > 0) {
            assertEquals(
                    changes, history.difference(version.number(), last.number()).orElseThrow());
        }
        TableVersion changed = version.with(changes, TableVersion.Cause.OPERATOR, 0);
        assertEquals(new TreeMap<>(last.entries()), new TreeMap<>(changed.entries()));
    }
}
