package rosespread.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler.NodeState;

class CatalogReaderTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "|READY",
                "{\"CheckID\":\"c\",\"Status\":\"passing\"}|READY",
                "{\"CheckID\":\"c\",\"Status\":\"warning\"}|READY",
                "{\"CheckID\":\"c\",\"Status\":\"critical\"}|GONE",
                "{\"CheckID\":\"_service_maintenance:x\",\"Status\":\"critical\"}|DRAINING",
                "{\"CheckID\":\"_node_maintenance\",\"Status\":\"critical\"}|DRAINING"
            })
    void readsStateZoneMachineTypeAndStartTime(String checks, NodeState state)
            throws NodeListException {
        String entry = CatalogFixture.entry("x", checks == null ? "" : checks);
        ListedNode node = CatalogReader.read("[" + entry + "]").get(0);
        assertEquals(state, node.state());
        assertEquals("a k 77", node.zone() + " " + node.machineType() + " " + node.startedMillis());
    }

    @Test
    void rejectsNodeListedTwice() {
        String entry = CatalogFixture.entry("x", "");
        assertThrows(
                NodeListException.class, () -> CatalogReader.read("[" + entry + "," + entry + "]"));
    }
}
