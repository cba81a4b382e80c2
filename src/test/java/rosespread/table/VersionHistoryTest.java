package rosespread.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/** The versions that a history keeps and drops. */
class VersionHistoryTest {
    private static final long TWO_DAYS_MILLIS = 2L * 24 * 3600 * 1000;

    @Test
    void limitsCountAndAgeExceptForRetainedAndCurrentVersions() {
        VersionHistory history = new VersionHistory(new TableId(1), 0);
        for (int i = 1; i <= 1000; i++) {
            history.commit(Map.of(new NodeId(1), (double) i), TableVersion.Cause.MODULE, i);
            history.retain(3);
        }
        assertEquals(256, history.versions().size());
        assertEquals(3.0, history.version(3).orElseThrow().entries().get(new NodeId(1)));
        assertTrue(history.version(4).isEmpty());
        history.commit(Map.of(new NodeId(1), 7.0), TableVersion.Cause.MODULE, TWO_DAYS_MILLIS);
        assertEquals(
                List.of(3L, 1001L), history.versions().stream().map(TableVersion::number).toList());
        history.commit(Map.of(new NodeId(1), 8.0), TableVersion.Cause.MODULE, 5);
        assertEquals(1002, history.current().number(), "a clock set back drops no version");
        assertSame(
                history.current(),
                history.commit(Map.of(new NodeId(2), 0.0), TableVersion.Cause.MODULE, 6));
    }
}
