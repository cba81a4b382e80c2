package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.EventHandler.NodeListKind.INCREMENTAL;
import static rosespread.api.EventHandler.NodeState.DRAINING;
import static rosespread.api.EventHandler.NodeState.GONE;
import static rosespread.api.EventHandler.NodeState.READY;
import static rosespread.policy.PolicyFixture.settings;
import static rosespread.policy.SettingsBuilder.method;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.api.EventHandler;
import rosespread.api.ProxyId;

/** Tests estimates, health, planning, deliveries and admission limits by the policy's actions. */
class RoutingPolicyTest {
    private static final long LONG_AGO = Long.MIN_VALUE;

    @ParameterizedTest
    @CsvSource({"1, 4", "3, 8", "9, 20"})
    void busiestProxiesGetFullTablesFirst(int proxies, int nodes) {
        PolicyFixture fixture = new PolicyFixture(settings());
        fixture.start(nodes, proxies);
        List<String> subscriptions = fixture.recordedSince(0, "subscribe ");
        List<String> expected =
                IntStream.range(0, proxies)
                        .mapToObj(p -> "subscribe " + (proxies - 1 - p) + " 1")
                        .toList();
        assertEquals(expected, subscriptions);
    }

    @Test
    void newerChangeReplacesPendingChangeWhileDeliveryIsInFlight() {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        fixture.list(INCREMENTAL, READY, LONG_AGO, 4);
        List<String> sent = fixture.round(1);
        assertTrue(sent.stream().anyMatch(line -> line.startsWith("weight 1 4 ")));
        int startIndex = fixture.recorded.size();
        fixture.list(INCREMENTAL, READY, LONG_AGO, 5).round(0.1);
        fixture.list(INCREMENTAL, GONE, LONG_AGO, 5).round(0.1);
        fixture.list(INCREMENTAL, READY, LONG_AGO, 6).round(0.1);
        assertEquals(List.of(), fixture.recordedSince(startIndex, "weight "));
        fixture.acknowledge(sent);
        fixture.run(1.2);
        assertEquals(List.of("weight 1 6 1.0"), fixture.recordedSince(startIndex, "weight "));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void resubscribesOnlyProxyThatDoesNotAcknowledge(int silent) {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 3);
        int startIndex = fixture.recorded.size();
        fixture.list(INCREMENTAL, READY, LONG_AGO, 4).run(4, silent);
        assertEquals(
                List.of("subscribe " + silent + " 1"),
                fixture.recordedSince(startIndex, "subscribe "));
    }

    @Test
    void slowChannelCausesNoResubscriptionStorm() {
        PolicyFixture fixture = new PolicyFixture(settings(600, 30, method(1)));
        fixture.start(8, 6);
        int startIndex = fixture.recorded.size();
        for (int node = 8; node < 28; node++) {
            fixture.list(INCREMENTAL, READY, LONG_AGO, node).run(0.5, 0, 1, 2, 3, 4, 5);
        }
        assertTrue(
                fixture.recordedSince(startIndex, "subscribe ").size() <= 12,
                fixture.recordedSince(startIndex, "subscribe ").toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 400, 2000})
    void changeLargerThanQueueLimitIsSentInParts(double queue) {
        PolicyFixture fixture = new PolicyFixture(settings(queue, 30, method(1))).start(2, 6);
        fixture.list(INCREMENTAL, READY, LONG_AGO, IntStream.range(2, 40).toArray()).run(60);
        assertTrue(IntStream.range(0, 40).allMatch(node -> fixture.weight(1, node) > 0));
    }

    @ParameterizedTest
    @EnumSource(
            value = EventHandler.NodeState.class,
            names = {"DRAINING", "GONE"})
    void drainDoesNotWaitForDeliveryInFlight(EventHandler.NodeState state) {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        fixture.list(INCREMENTAL, READY, LONG_AGO, 4).round(1);
        int startIndex = fixture.recorded.size();
        fixture.list(INCREMENTAL, state, LONG_AGO, 1).round(0.1);
        assertEquals(List.of("weight 1 1 0.0"), fixture.recordedSince(startIndex, "weight "));
    }

    @Test
    void returningNodeGetsOnlyWarmUpWeight() {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        fixture.list(INCREMENTAL, GONE, LONG_AGO, 1).run(3);
        fixture.list(INCREMENTAL, READY, 104 * PolicyFixture.SECOND, 1).run(0.3);
        assertEquals(0, fixture.weight(1, 1), "requests sent by old tables may still arrive");
        fixture.run(1);
        assertTrue(
                fixture.weight(1, 1) > 0 && fixture.weight(1, 1) < 0.35,
                "weight " + fixture.weight(1, 1));
        fixture.run(20);
        assertEquals(1, fixture.weight(1, 1), 0.08);
    }

    @Test
    void restartOfNodeWithEntryDoesNotWaitForDeliveryInFlight() {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        fixture.list(INCREMENTAL, READY, LONG_AGO, 4).round(1);
        fixture.list(INCREMENTAL, READY, 103 * PolicyFixture.SECOND, 1).round(0.1);
        assertTrue(fixture.weight(1, 1) < 0.2, "weight " + fixture.weight(1, 1));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "6, false", "8, false"})
    void failingNodesNeverEmptyTable(int failing, boolean ejected) {
        PolicyFixture fixture = new PolicyFixture(settings()).start(8, 2);
        for (int i = 0; i < 6; i++) {
            for (int node = 0; node < 8; node++) {
                fixture.loadReport(
                        node, 10, node < failing ? 10 : 0, node < failing ? Double.NaN : 0.5);
            }
            fixture.run(1);
        }
        double highestWeight =
                IntStream.range(0, failing)
                        .mapToDouble(n -> fixture.weight(1, n))
                        .max()
                        .orElseThrow();
        assertEquals(ejected, highestWeight < 0.2, "weight " + highestWeight);
    }

    @ParameterizedTest
    @CsvSource({
        "0.95, 5, false",
        "0.95, 10, true",
        "0.4, 5, true",
        "0.4, 1, false",
        "NaN, 10, true"
    })
    void overloadedNodeThatAnswersIsNotEjected(double utilization, int failures, boolean ejected) {
        PolicyFixture fixture = new PolicyFixture(settings()).start(8, 2);
        for (int i = 0; i < 8; i++) {
            for (int node = 0; node < 8; node++) {
                fixture.loadReport(
                        node, 10, node == 0 && i > 1 ? failures : 0, node == 0 ? utilization : 0.5);
            }
            fixture.run(1);
        }
        assertEquals(ejected, !fixture.recordedSince(0, "log node 0 ejected").isEmpty());
        assertEquals(List.of(), fixture.recordedSince(0, "log node 0 readmitted"));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 10, 20})
    void messagesToProxyStayWithinMessageLimit(int limit) {
        PolicyFixture fixture = new PolicyFixture(settings(5000, limit, method(1))).start(2, 3);
        int startIndex = fixture.recorded.size();
        for (int node = 2; node < 42; node++) {
            fixture.list(INCREMENTAL, READY, LONG_AGO, node).run(0.2);
        }
        assertTrue(
                fixture.recordedSince(startIndex, "token ").size() < limit,
                fixture.recordedSince(startIndex, "token ").toString());
        assertTrue(fixture.weight(1, 2) > 0);
    }

    @ParameterizedTest
    @CsvSource({"0.9, 0.3", "0.8, 0.4"})
    void weightsFollowLoadAndStayUnchangedWithoutReports(double busy, double idle) {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        for (int i = 0; i < 10; i++) {
            for (int node = 0; node < 4; node++) {
                fixture.loadReport(node, 10, 0, node == 0 ? busy : idle);
            }
            fixture.run(1);
        }
        assertTrue(fixture.weight(1, 0) < 0.8 * fixture.weight(1, 1));
        fixture.run(20);
        int startIndex = fixture.recorded.size();
        fixture.run(20);
        assertTrue(
                fixture.recordedSince(startIndex, "weight ").size() <= 2,
                fixture.recordedSince(startIndex, "weight ").toString());
    }

    @Test
    void lowestPriorityIsShedFirst() {
        PolicyFixture fixture =
                new PolicyFixture(settings(2000, 30, method(1), method(3))).start(4, 2);
        for (int i = 0; i < 5; i++) {
            for (int node = 0; node < 4; node++) {
                fixture.loadReport(node, 10, 0, 1);
            }
            for (int proxy = 0; proxy < 2; proxy++) {
                fixture.demandReport(proxy, 0, 15).demandReport(proxy, 1, 10);
            }
            fixture.run(1);
        }
        assertTrue(!fixture.recordedSince(0, "limit 0 ").isEmpty());
        assertEquals(List.of(), fixture.recordedSince(0, "limit 1 "));
    }

    @ParameterizedTest
    @CsvSource({"0.3, false", "0.5, false", "0.9, true"})
    void retriesAloneStartNoSheddingWhileNodesAreNotBusy(double busy, boolean sheds) {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        for (int i = 0; i < 5; i++) {
            for (int node = 0; node < 4; node++) {
                fixture.loadReport(node, 10, 0, busy);
            }
            fixture.demandReport(0, 0, 300).demandReport(1, 0, 300).run(1);
        }
        assertEquals(sheds, !fixture.recordedSince(0, "limit 0 ").isEmpty());
    }

    @Test
    void loadReportsOfFewNodesStartNoShedding() {
        PolicyFixture fixture = new PolicyFixture(settings()).start(20, 2);
        fixture.loadReport(0, 10, 0, 1).loadReport(1, 10, 0, 1).demandReport(0, 0, 300).run(1);
        assertEquals(List.of(), fixture.recordedSince(0, "limit 0 "));
    }

    @Test
    void firstCapacityAdjustmentAfterStartIsMadeInFull() {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        for (int node = 0; node < 4; node++) {
            fixture.loadReport(node, 30, 0, node % 2 == 0 ? 0.3 : 0.9);
        }
        fixture.run(0.5);
        double ratio = fixture.weight(1, 0) / fixture.weight(1, 1);
        assertTrue(ratio > 2.5 && ratio < 3.5, "ratio " + ratio);
    }

    @Test
    void methodsWithDifferentNodesHaveSeparateTables() {
        PolicyFixture fixture =
                new PolicyFixture(settings(2000, 30, method(1), method(3, 0))).start(4, 1);
        assertEquals(
                List.of("subscribe 0 1", "subscribe 0 2"), fixture.recordedSince(0, "subscribe "));
        assertEquals(0, fixture.weight(2, 1));
        assertTrue(fixture.weight(2, 0) > 0);
    }

    @Test
    void acknowledgementsSettleDeliveriesAfterTokensWrapAround() {
        PolicyFixture fixture = new PolicyFixture(settings(2000, 0, method(1))).start(4, 1);
        for (int i = 0; i < 66_000; i++) {
            fixture.with(handler -> handler.proxyLeft(new ProxyId(0))).join(0, 10);
            fixture.acknowledge(fixture.round(0.001));
            fixture.recorded.clear();
        }
        fixture.run(1);
        fixture.list(INCREMENTAL, READY, LONG_AGO, 4).run(4);
        assertEquals(1, fixture.recordedSince(0, "weight 1 4 ").size());
        assertEquals(List.of(), fixture.recordedSince(0, "subscribe "));
    }

    @Test
    void drainingNodeInCachedListGetsNoEntry() {
        PolicyFixture fixture =
                new PolicyFixture(settings())
                        .list(EventHandler.NodeListKind.CACHED, DRAINING, LONG_AGO, 9)
                        .start(4, 1);
        assertEquals(List.of(), fixture.recordedSince(0, "weight 1 9 "));
    }

    @ParameterizedTest
    @CsvSource({"0.1, 0.2, 1.0", "0.3, 0.2, 0.7", "0.6, 0.2, 0.7"})
    void lowReportedLoadDoesNotRaiseWeightAboveLatencyBound(
            double latency, double reported, double maxRatio) {
        PolicyFixture fixture = new PolicyFixture(settings()).start(10, 4);
        for (int i = 0; i < 40; i++) {
            for (int node = 0; node < 10; node++) {
                fixture.latency = node == 0 ? latency : 0.1;
                fixture.loadReport(node, 10, 0, node == 0 ? reported : 0.5);
            }
            fixture.run(1);
        }
        double ratio = fixture.weight(1, 0) / fixture.weight(1, 2);
        assertEquals(maxRatio < 1, ratio < maxRatio, "ratio " + ratio);
    }

    @Test
    void eventsOfUnknownNodesAndProxiesAreIgnored() {
        PolicyFixture fixture = new PolicyFixture(settings()).start(4, 2);
        int startIndex = fixture.recorded.size();
        fixture.loadReport(99, 10, 10, 0.9)
                .demandReport(99, 0, 10)
                .demandReport(0, 0, 0)
                .with(handler -> handler.proxyLeft(new ProxyId(98)));
        fixture.with(handler -> handler.acknowledged(new ProxyId(99), 5, 1))
                .with(handler -> handler.acknowledged(new ProxyId(0), 4711, 1));
        fixture.list(INCREMENTAL, READY, LONG_AGO).run(1);
        assertEquals(
                List.of(),
                fixture.recorded.subList(startIndex, fixture.recorded.size()).stream()
                        .filter(line -> !line.equals("timer"))
                        .toList());
    }
}
