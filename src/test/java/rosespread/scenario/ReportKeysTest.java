package rosespread.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.RpcResult;
import rosespread.testbed.SiteDefinition;

/**
 * Guards against changes of the names in reports and scenario files, which other programs and
 * people read and write: a renamed key would break these uses.
 */
class ReportKeysTest {
    private static final List<String> BUILT_IN =
            List.of("bad-day", "drain-day", "full-size", "kill-day", "quiet-day", "rollback-day");

    /** Paths of all names in the JSON report of the scenario {@code short-day}. */
    private static final String REPORT_KEYS =
            """
            byMethod
            byMethod.book
            byMethod.book.aborted
            byMethod.book.inTime
            byMethod.book.ok
            byMethod.book.p50Ms
            byMethod.book.p99Ms
            byMethod.book.pushedBack
            byMethod.book.rpcs
            byMethod.book.service
            byMethod.book.tries
            byMethod.quote
            byMethod.quote.aborted
            byMethod.quote.inTime
            byMethod.quote.ok
            byMethod.quote.p50Ms
            byMethod.quote.p99Ms
            byMethod.quote.pushedBack
            byMethod.quote.rpcs
            byMethod.quote.service
            byMethod.quote.tries
            byMethod.record
            byMethod.record.aborted
            byMethod.record.inTime
            byMethod.record.ok
            byMethod.record.p50Ms
            byMethod.record.p99Ms
            byMethod.record.pushedBack
            byMethod.record.rpcs
            byMethod.record.service
            byMethod.record.tries
            changePacedSeconds
            changePacedSeconds.count
            changePacedSeconds.max
            changePacedSeconds.p50
            changePacedSeconds.p99
            changeSeconds
            changeSeconds.count
            changeSeconds.max
            changeSeconds.p50
            changeSeconds.p99
            conductorCpuPerSecond
            conductorCpuSeconds
            conductorRssMb
            drainSeconds
            drainSeconds.count
            drainSeconds.max
            drainSeconds.p50
            drainSeconds.p99
            events
            events[].at
            events[].what
            linesWaitingMost
            messagesPerProxyMost
            operatorDrainTrySeconds
            operatorDrainTrySeconds.count
            operatorDrainTrySeconds.max
            operatorDrainTrySeconds.p50
            operatorDrainTrySeconds.p99
            overTime
            overTime[].book
            overTime[].from
            overTime[].quote
            overTime[].record
            rollbackSeconds
            rollbackSeconds.count
            rollbackSeconds.max
            rollbackSeconds.p50
            rollbackSeconds.p99
            rpcs
            rpcsPerSecond
            rules
            rules.answersKept
            rules.answersKept.breaks
            rules.answersKept.checked
            rules.answersKept.kept
            rules.answersKept.limit
            rules.answersKept.worst
            rules.answersKept.worstAt
            rules.drainsKept
            rules.drainsKept.breaks
            rules.drainsKept.checked
            rules.drainsKept.kept
            rules.drainsKept.limit
            rules.drainsKept.worst
            rules.drainsKept.worstAt
            rules.messagesPerProxy
            rules.messagesPerProxy.breaks
            rules.messagesPerProxy.checked
            rules.messagesPerProxy.kept
            rules.messagesPerProxy.limit
            rules.messagesPerProxy.worst
            rules.messagesPerProxy.worstAt
            rules.noColdNodePushedOver
            rules.noColdNodePushedOver.breaks
            rules.noColdNodePushedOver.checked
            rules.noColdNodePushedOver.kept
            rules.noColdNodePushedOver.limit
            rules.noColdNodePushedOver.worst
            rules.noColdNodePushedOver.worstAt
            rules.noEffectTwice
            rules.noEffectTwice.breaks
            rules.noEffectTwice.checked
            rules.noEffectTwice.kept
            rules.noEffectTwice.limit
            rules.noEffectTwice.worst
            rules.noEffectTwice.worstAt
            rules.noProxyWithoutNode
            rules.noProxyWithoutNode.breaks
            rules.noProxyWithoutNode.checked
            rules.noProxyWithoutNode.kept
            rules.noProxyWithoutNode.limit
            rules.noProxyWithoutNode.worst
            rules.noProxyWithoutNode.worstAt
            rules.rollbacksInTime
            rules.rollbacksInTime.breaks
            rules.rollbacksInTime.checked
            rules.rollbacksInTime.kept
            rules.rollbacksInTime.limit
            rules.rollbacksInTime.worst
            rules.rollbacksInTime.worstAt
            rules.shortQueue
            rules.shortQueue.breaks
            rules.shortQueue.checked
            rules.shortQueue.kept
            rules.shortQueue.limit
            rules.shortQueue.worst
            rules.shortQueue.worstAt
            rules.tablesInMeasure
            rules.tablesInMeasure.breaks
            rules.tablesInMeasure.checked
            rules.tablesInMeasure.kept
            rules.tablesInMeasure.limit
            rules.tablesInMeasure.worst
            rules.tablesInMeasure.worstAt
            rules.versionsRise
            rules.versionsRise.breaks
            rules.versionsRise.checked
            rules.versionsRise.kept
            rules.versionsRise.limit
            rules.versionsRise.worst
            rules.versionsRise.worstAt
            scenario
            seed
            service
            tablesRefused
            tablesRefused.LEAVING_NODE""";

    /** Paths of all names in the built-in scenarios. */
    private static final String SCENARIO_KEYS =
            """
            channel
            channel.levels
            channel.linesPerMessage
            channel.linesPerSecond
            channel.messageLimit
            channel.queueLimit
            clients
            clients.retries
            clients.retryWaitMs
            conductors
            kinds
            kinds.large
            kinds.large.cores
            kinds.large.nodes
            kinds.large.speed
            kinds.small
            kinds.small.cores
            kinds.small.nodes
            kinds.small.speed
            list
            list.lateMs
            methods
            methods[].criticality
            methods[].deadlineMs
            methods[].effect
            methods[].name
            methods[].onlyKinds
            methods[].share
            methods[].softDeadlineMs
            methods[].windowMs
            methods[].workMs
            name
            proxies
            proxies.count
            proxies.longestWayMs
            proxies.stallPerLineUs
            proxies.wayMs
            rate
            rules
            rules.drainGraceMs
            rules.lackMs
            seconds
            troubles
            troubles[].at
            troubles[].for
            troubles[].kind
            troubles[].what
            troubles[].what.factor
            troubles[].what.ms
            troubles[].what.share
            troubles[].what.which
            troubles[].what.zone
            zones""";

    /** Every name that a scenario may have, each with a value other than its default. */
    private static final String ALL_NAMES =
            """
            name: all-names
            seconds: 12
            warmUpSeconds: 4
            conductors: 2
            zones: [north, south]
            kinds:
              large: {cores: 2, speed: 0.7, nodes: 7}
            methods:
              - {name: quote, share: 1, workMs: 60, softDeadlineMs: 900, deadlineMs: 2500, criticality: 3,
                 lateShare: 0.2, effect: tokened, windowMs: 2000, onlyKinds: [large]}
            cold: {seconds: 8, share: 0.3, windowMs: 1200, multiple: 5}
            channel: {linesPerSecond: 1200, linesPerMessage: 9, queueLimit: 1800, messageLimit: 31,
              messageSpanMs: 9000, levels: share, orderPrice: 0.1}
            proxies: {count: 9, pick: best of two, avoidAfterFailures: 7, stallPerLineUs: 31, wayMs: 30,
              longestWayMs: 200, standing: 6, redialLeastMs: 100, redialMostMs: 400}
            queuePerCore: 9
            reports: {periodMs: 900, lateMs: 400}
            rate: 90
            clients: {retries: 3, retryWaitMs: 90, patience: 0.9}
            rules: {lackMs: 2900, drainGraceMs: 2400}
            list: {lateMs: 300}
            probes: false
            troubles:
              - {at: 0.5, for: 1, kind: node crash, what: {share: 0.2, zone: south, factor: 5, ms: 1900,
                 method: quote, which: 1}}
            """;

    /** Paths of all names below a node; all elements of an array share one path. */
    private static Set<String> keys(JsonNode node) {
        Set<String> all = new TreeSet<>();
        collectKeys("", node, all);
        return all;
    }

    private static void collectKeys(String at, JsonNode node, Set<String> all) {
        if (node.isArray()) {
            node.forEach(each -> collectKeys(at + "[]", each, all));
        }
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            String path = at.isEmpty() ? field.getKey() : at + "." + field.getKey();
            all.add(path);
            collectKeys(path, field.getValue(), all);
        }
    }

    private static JsonNode builtIn(String name) throws IOException {
        try (InputStream in =
                ReportKeysTest.class.getResourceAsStream("/scenarios/" + name + ".yaml")) {
            return new YAMLMapper().readTree(in);
        }
    }

    private static Set<String> recorded(String lines) {
        return new TreeSet<>(lines.lines().toList());
    }

    @Test
    void reportHasRecordedKeys() throws Exception {
        Scenario scenario = ScenarioReader.load("short-day");
        Report report = new Report(scenario, 3);
        InvariantChecker checker = new InvariantChecker(scenario, 0);
        report.setMeasurementStart(0);
        report.startCpuMeasurement(List.of());
        for (SiteDefinition.Method method : scenario.site().methods()) {
            report.rpcEnded(
                    new OpenLoopClients.Arrival(1, 1, method, "north", 0.5, "", 1, 0, 1, 1),
                    RpcResult.OK,
                    1_000_000,
                    1);
        }
        report.event(1, "something happened");
        checker.queueLength().recordViolation("too long");
        report.addRefusals(new ObjectMapper().readTree("[{\"refused\":{\"LEAVING_NODE\":2}}]"));
        report.complete(checker, 1_000_000_000L, List.of());
        assertEquals(recorded(REPORT_KEYS), keys(new ObjectMapper().readTree(report.json())));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "bad-day",
                "drain-day",
                "full-size",
                "kill-day",
                "quiet-day",
                "rollback-day"
            })
    void readsBuiltInScenario(String name) throws Exception {
        assertEquals(name, ScenarioReader.load(name).name());
    }

    @Test
    void builtInScenariosHaveRecordedKeys() throws Exception {
        Set<String> all = new TreeSet<>();
        for (String name : BUILT_IN) {
            all.addAll(keys(builtIn(name)));
        }
        assertEquals(recorded(SCENARIO_KEYS), all);
    }

    /** An unknown name makes the scenario invalid; the settings show the values of most names. */
    @Test
    void readsEveryScenarioField() throws Exception {
        Scenario scenario = ScenarioReader.parse("all-names.yaml", ALL_NAMES);
        assertEquals(1, scenario.faults().size());
        assertTrue(keys(new YAMLMapper().readTree(ALL_NAMES)).size() > 50);
        assertEquals(
                "{\"seed\":7,\"peers\":[\"127.0.0.1:8600\"],\"zones\":[\"north\",\"south\"],\""
                        + "kinds\":[\"large\"],\"methods\":[{\"name\":\"quote\",\"criticality\":3.0,\"o"
                        + "nlyKinds\":[\"large\"]}],\"list\":{\"port\":8500,\"service\":\"nodes\",\"wai"
                        + "tMs\":5000,\"silentAfterMs\":1500},\"probes\":{\"allowed\":false},\"leve"
                        + "ls\":\"share\",\"channel\":{\"linesPerSecond\":1200.0,\"linesPerMessage\""
                        + ":9.0,\"queueLimit\":1800.0,\"orderPrice\":0.1,\"messageLimit\":31,\"mes"
                        + "sageSpanMs\":9000.0,\"longestWayMs\":200.0},\"reportPeriodMs\":900.0,"
                        + "\"drainGraceMs\":2400.0,\"cold\":{\"timeMs\":8000.0,\"share\":0.3,\"windo"
                        + "wMs\":1200.0}}",
                scenario.settings(7, 8500, List.of("127.0.0.1:8600")));
    }
}
