package rosespread.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.discovery.CatalogIndex.Change;

class CatalogIndexTest {
    private static final long GRACE_NANOS = 100;
    private final CatalogIndex index = new CatalogIndex(GRACE_NANOS);

    @ParameterizedTest
    @ValueSource(strings = {"", "0", "-1", "1.5", "x", "1234567890123456789"})
    void rejectsHeaderThatIsNotIndex(String header) {
        assertEquals(OptionalLong.empty(), CatalogIndex.parse(header));
    }

    @Test
    void parsesWholeNumberAsIndex() {
        assertEquals(OptionalLong.of(42), CatalogIndex.parse("42"));
    }

    @Test
    void reportsHigherIndexAsChangedAndEqualIndexAsUnchanged() {
        assertFalse(index.mayBlock());
        assertEquals(Change.CHANGED, index.advance(5, 0));
        assertTrue(index.mayBlock());
        assertEquals(Change.UNCHANGED, index.advance(5, 1));
    }

    @Test
    void reportsLowerIndexAsStaleUntilGracePeriodHasPassed() {
        index.advance(5, 0);
        assertEquals(Change.STALE, index.advance(3, 1000));
        assertFalse(index.mayBlock());
        assertEquals(Change.STALE, index.advance(3, 1000 + GRACE_NANOS - 1));
        assertEquals(5, index.value());
        assertEquals(Change.CHANGED, index.advance(3, 1000 + GRACE_NANOS));
        assertEquals(3, index.value());
        assertTrue(index.mayBlock());
    }

    @Test
    void restartsGracePeriodAfterKnownIndex() {
        index.advance(5, 0);
        index.advance(3, 1000);
        assertEquals(Change.UNCHANGED, index.advance(5, 1001));
        assertEquals(Change.STALE, index.advance(3, 1000 + GRACE_NANOS));
    }
}
