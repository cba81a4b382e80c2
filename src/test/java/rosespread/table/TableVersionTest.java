package rosespread.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rosespread.api.NodeId;
import rosespread.api.TableId;

class TableVersionTest {
    /**
     * Any history: the digest is that of the lines, old versions stay as they were, changes lead
     * from one to any.
     */
    @Property(seed = "1")
    void versionsNeverChangeAndDigestsFitTheirLines(
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
            boolean same = old == null ? weight == 0 : old == weight;
            assertEquals(same ? before.number() : before.number() + 1, after.number());
            models.add(new TreeMap<>(model));
            versions.add(after);
        }
        for (int i = 0; i < versions.size(); i++) {
            assertEquals(models.get(i), new TreeMap<>(versions.get(i).lines()));
            assertEquals(TableDigest.of(models.get(i)), versions.get(i).digest());
            TableVersion last = versions.get(versions.size() - 1);
            Map<NodeId, Double> straight = versions.get(i).changesTo(last.lines());
            if (versions.get(i).number() > 0) {
                assertEquals(
                        straight,
                        history.difference(versions.get(i).number(), last.number()).orElseThrow());
            }
            assertEquals(
                    new TreeMap<>(last.lines()),
                    new TreeMap<>(
                            versions.get(i)
                                    .with(
                                            versions.get(i).changesTo(last.lines()),
                                            TableVersion.Cause.OPERATOR,
                                            0)
                                    .lines()));
        }
    }

    @Test
    void keepsALimitedHistoryButWhatIsKept() {
        VersionHistory history = new VersionHistory(new TableId(1), 0);
        for (int i = 1; i <= 1000; i++) {
            history.commit(Map.of(new NodeId(1), (double) i), TableVersion.Cause.MODULE, i);
            history.retain(3);
        }
        assertEquals(256, history.versions().size());
        assertEquals(3.0, history.version(3).orElseThrow().lines().get(new NodeId(1)));
        assertTrue(history.version(4).isEmpty());
        history.commit(
                Map.of(new NodeId(1), 7.0), TableVersion.Cause.MODULE, 2L * 24 * 3600 * 1000);
        assertEquals(
                List.of(3L, 1001L), history.versions().stream().map(TableVersion::number).toList());
        history.commit(Map.of(new NodeId(1), 8.0), TableVersion.Cause.MODULE, 5);
        assertEquals(1002, history.current().number(), "a clock set back loses nothing");
        assertSame(
                history.current(),
                history.commit(Map.of(new NodeId(2), 0.0), TableVersion.Cause.MODULE, 6));
    }
}
