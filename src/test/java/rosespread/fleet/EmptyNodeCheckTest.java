package rosespread.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EmptyNodeCheckTest {
    private static final EmptyNodeCheck CHECK = new EmptyNodeCheck("n1", Duration.ofSeconds(2));

    private static List<String> reasons(EmptyNodeCheck check, FleetResponse... responses) {
        return check.blockers(List.of(responses)).stream().map(DrainBlocker::describe).toList();
    }

    private static FleetResponse node(String state, int attemptAgoMillis, int overdueReports) {
        return FleetResponses.ok(
                1,
                String.format(
                        "[{\"name\":\"n1\",\"address\":\"h:1\",\"state\":\"%s\",\"triedAgoMs\":%d,"
                                + "\"unheard\":%d}]",
                        state, attemptAgoMillis, overdueReports));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "READY|-1|0|10.0.0.1:1 still lists the node as ready",
                "READY|5|3|10.0.0.1:1 still lists the node as ready",
                "DRAINING|0|0|10.0.0.1:1 received a report of an attempt 0 ms ago",
                "DRAINING|1999|3|10.0.0.1:1 received a report of an attempt 1999 ms ago",
                "DRAINING|2000|3|10.0.0.1:1 has overdue reports: 3 of its proxies have not reported",
                "DRAINING|-1|1|10.0.0.1:1 has overdue reports: 1 of its proxies have not reported"
            })
    void reportsFirstReasonWhyNodeMayReceiveTraffic(
            String state, int attemptAgoMillis, int overdueReports, String reason) {
        assertEquals(
                List.of(reason), reasons(CHECK, node(state, attemptAgoMillis, overdueReports)));
    }

    @ParameterizedTest
    @CsvSource({"DRAINING,2000", "DRAINING,-1", "GONE,60000"})
    void drainedNodeWithoutRecentAttemptsIsEmpty(String state, int attemptAgoMillis) {
        assertEquals(List.of(), reasons(CHECK, node(state, attemptAgoMillis, 0)));
    }

    @Test
    void controllerThatDoesNotListNodeCausesNoBlocker() {
        assertEquals(List.of(), reasons(CHECK, FleetResponses.ok(1, "[{\"name\":\"n2\"}]")));
    }

    @Test
    void missingResponseCausesBlocker() {
        assertEquals(
                List.of("10.0.0.1:2 returned no node list: refused"),
                reasons(CHECK, FleetResponses.ok(1, "[]"), FleetResponses.missing(2, "refused")));
    }

    @Test
    void qualifiedNameSelectsOneOfSeveralNodesWithSameName() {
        FleetResponse nodes =
                FleetResponses.ok(
                        1,
                        "[{\"name\":\"n1\",\"address\":\"h:1\",\"state\":\"READY\"},"
                                + "{\"name\":\"n1\",\"address\":\"h:2\",\"state\":\"DRAINING\"}]");
        Duration quietPeriod = Duration.ofSeconds(2);
        assertEquals(
                List.of("10.0.0.1:1 still lists the node as ready"),
                reasons(new EmptyNodeCheck("n1@h:1", quietPeriod), nodes));
        assertEquals(List.of(), reasons(new EmptyNodeCheck("n1@h:2", quietPeriod), nodes));
    }
}
