package rosespread.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class FleetDifferencesTest {
    private static final String STATUS =
            "{\"settingsRevision\":4,\"settingsBy\":\"ana\",\"nodes\":{\"READY\":2,\"DRAINING\":1},"
                    + "\"drained\":{\"n1\":\"ana\"}}";

    private static List<String> differences(FleetResponse... responses) {
        return FleetDifferences.between(List.of(responses)).stream()
                .map(FleetDifference::describe)
                .toList();
    }

    @Test
    void equalStatusesHaveNoDifferences() {
        assertEquals(
                List.of(), differences(FleetResponses.ok(1, STATUS), FleetResponses.ok(2, STATUS)));
    }

    @Test
    void differentNodeStatesAreNoDifferenceIfNumberOfNodesIsEqual() {
        String other = STATUS.replace("\"READY\":2,\"DRAINING\":1", "\"READY\":3");
        assertEquals(
                List.of(), differences(FleetResponses.ok(1, STATUS), FleetResponses.ok(2, other)));
    }

    @Test
    void comparesSettingsThenNumberOfNodesThenDrains() {
        String withoutSettings = "{\"nodes\":{\"READY\":2},\"drained\":{\"n0\":\"bo\"}}";
        assertEquals(
                List.of(
                        "settings differ: none at 10.0.0.1:2; revision 4 by ana at 10.0.0.1:1,"
                                + " 10.0.0.1:3",
                        "numbers of listed nodes differ: 2 at 10.0.0.1:2; 3 at 10.0.0.1:1, 10.0.0.1:3",
                        "node n0 is drained, but not at 10.0.0.1:1, 10.0.0.1:3",
                        "node n1 is drained, but not at 10.0.0.1:2"),
                differences(
                        FleetResponses.ok(1, STATUS),
                        FleetResponses.ok(2, withoutSettings),
                        FleetResponses.ok(3, STATUS)));
    }

    @Test
    void controllersWithoutResponseAreIgnored() {
        assertEquals(
                List.of(),
                differences(FleetResponses.ok(1, STATUS), FleetResponses.missing(2, "refused")));
    }
}
