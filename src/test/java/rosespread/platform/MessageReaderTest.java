package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.platform.MalformedMessageException.Reason;

class MessageReaderTest {
    private final MessageReader reader = new MessageReader(PlatformFixture.config().names(), 20);

    private Message read(String words) throws MalformedMessageException {
        return reader.read(List.of(words.split(" ")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hb | Heartbeat[]",
                "telemetry locality b | CollectorJoin[zone=ZoneId[value=1]]",
                "attach node 17 locality a w 21.5 cold 1"
                        + " | ProxyJoin[proxy=ProxyId[value=17], zone=ZoneId[value=0], requestsPerSecond=21.5, holdsNoTables=true]",
                "done node 17 nonce 905 latency 310.4"
                        + " | Acknowledgement[proxy=ProxyId[value=17], token=905, latencyNanos=310400000]",
                "client_stats node 17 route order total 19 errors 0 interval 1000.0 later 1"
                        + " | DemandReport[proxy=ProxyId[value=17], method=MethodId[value=1], requests=19, periodNanos=1000000000]",
                "upstream_stats locality a endpoint s-1 total 212 errors 3 rtt 41.7 interval 500 metrics"
                        + " inflight:7,util:0.61 | LoadReport[node=s-1, zone=ZoneId[value=0], attempts=212, failures=3,"
                        + " latencySeconds=0.0417, periodNanos=500000000, utilization=0.61]",
                "upstream_stats locality a endpoint s-1 total 2 errors 0 rtt 9 interval 500 metrics"
                        + " outstanding:7.0,recent_ms:31.5,utilization:0.25 | LoadReport[node=s-1, zone=ZoneId[value=0],"
                        + " attempts=2, failures=0, latencySeconds=0.009, periodNanos=500000000, utilization=0.25]",
                "upstream_stats locality a endpoint s-1 total 3 errors 3 interval 500 | LoadReport[node=s-1,"
                        + " zone=ZoneId[value=0], attempts=3, failures=3, latencySeconds=NaN, periodNanos=500000000,"
                        + " utilization=NaN]"
            })
    void readsValidMessages(String words, String expected) throws MalformedMessageException {
        assertEquals(expected, read(words).toString());
    }

    @ParameterizedTest
    @CsvSource({
        "assign out s-1, KIND",
        "GET / HTTP, KIND",
        "attach node 1 locality, PAIRS",
        "telemetry locality a locality b, PAIRS",
        "telemetry zone a, MISSING",
        "telemetry locality x, UNKNOWN",
        "attach node 20 locality a w 1 cold 0, UNKNOWN",
        "attach node -1 locality a w 1 cold 0, RANGE",
        "attach node 1.5 locality a w 1 cold 0, TYPE",
        "attach node 1 locality a w NaN cold 0, TYPE",
        "attach node 1 locality a w 0x1p3 cold 0, TYPE",
        "attach node 1 locality a w 1 cold 2, RANGE",
        "attach node 1 locality a w 1 cold yes, TYPE",
        "attach node 1 locality a w 1, MISSING",
        "done node 1 nonce 65536 latency 1, RANGE",
        "done node 1 nonce 3 latency -1, RANGE",
        "done node 1 nonce 3, MISSING",
        "done node 1 nonce x latency 1, TYPE",
        "client_stats node 1 route none total 1 errors 0 interval 500, UNKNOWN",
        "client_stats node 1 route order total 1 errors 0 interval 0, RANGE",
        "client_stats node 1 route order total 1e99 errors 0 interval 5, RANGE",
        "client_stats node 1 route order total 1 interval 5, MISSING",
        "upstream_stats locality a endpoint s-1 total 2 errors 3 rtt 1 interval 500, RANGE",
        "upstream_stats locality a endpoint s-1 total 2 errors 0 interval 500, MISSING",
        "upstream_stats locality a endpoint s-1 total 2 errors 0 rtt -4 interval 500, RANGE",
        "upstream_stats locality a endpoint s-1 total 2 errors 0 rtt 1 interval 500 metrics util, TYPE",
        "upstream_stats locality a endpoint s-1 total 2 errors 0 rtt 1 interval 500 metrics util:-1, RANGE"
    })
    void rejectsMalformedMessagesWithReason(String words, Reason reason) {
        assertEquals(
                reason, assertThrows(MalformedMessageException.class, () -> read(words)).reason());
    }
}
