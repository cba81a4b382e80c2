package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.EventHandler.NodeListKind.INCREMENTAL;
import static rosespread.api.EventHandler.NodeState.DRAINING;
import static rosespread.api.EventHandler.NodeState.GONE;
import static rosespread.api.EventHandler.NodeState.READY;
import static rosespread.policy.PolicyFixture.method;
import static rosespread.policy.PolicyFixture.settings;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.api.EventHandler;
import rosespread.api.ProxyId;

class RoutingPolicyTest {
    private static final long LONG_AGO = Long.MIN_VALUE;

    @ParameterizedTest
    @CsvSource({"1, 4", "3, 8", "9, 20"})
    void joinedProxiesGetWholeTablesTheBusiestFirst(int proxies, int nodes) {
        PolicyFixture rig = new PolicyFixture(settings());
        rig.start(nodes, proxies);
        List<String> binds = rig.since(0, "bind ");
        List<String> wanted =
                IntStream.range(0, proxies)
                        .mapToObj(p -> "bind " + (proxies - 1 - p) + " 1")
                        .toList();
        assertEquals(wanted, binds);
    }

    @Test
    void aNewerChangeOverwritesThePendingOneWhileADeliveryIsInFlight() {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        rig.list(INCREMENTAL, READY, LONG_AGO, 4);
        List<String> sent = rig.round(1);
        assertTrue(sent.stream().anyMatch(line -> line.startsWith("line 1 4 ")));
        int place = rig.all.size();
        rig.list(INCREMENTAL, READY, LONG_AGO, 5).round(0.1);
        rig.list(INCREMENTAL, GONE, LONG_AGO, 5).round(0.1);
        rig.list(INCREMENTAL, READY, LONG_AGO, 6).round(0.1);
        assertEquals(List.of(), rig.since(place, "line "));
        rig.answer(sent);
        rig.run(1.2);
        assertEquals(List.of("line 1 6 1.0"), rig.since(place, "line "));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void onlyTheProxyThatDoesNotAnswerIsBoundAgain(int silent) {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 3);
        int place = rig.all.size();
        rig.list(INCREMENTAL, READY, LONG_AGO, 4).run(4, silent);
        assertEquals(List.of("bind " + silent + " 1"), rig.since(place, "bind "));
    }

    @Test
    void aSlowChannelStartsNoStormOfBinds() {
        PolicyFixture rig = new PolicyFixture(settings(600, 30, method(1)));
        rig.start(8, 6);
        int place = rig.all.size();
        for (int node = 8; node < 28; node++) {
            rig.list(INCREMENTAL, READY, LONG_AGO, node).run(0.5, 0, 1, 2, 3, 4, 5);
        }
        assertTrue(rig.since(place, "bind ").size() <= 12, rig.since(place, "bind ").toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 400, 2000})
    void aChangeTooLargeForTheQueueLeavesInParts(double queue) {
        PolicyFixture rig = new PolicyFixture(settings(queue, 30, method(1))).start(2, 6);
        rig.list(INCREMENTAL, READY, LONG_AGO, IntStream.range(2, 40).toArray()).run(60);
        assertTrue(IntStream.range(0, 40).allMatch(node -> rig.weight(1, node) > 0));
    }

    @ParameterizedTest
    @EnumSource(
            value = EventHandler.NodeState.class,
            names = {"DRAINING", "GONE"})
    void aDrainDoesNotWaitForADeliveryInFlight(EventHandler.NodeState state) {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        rig.list(INCREMENTAL, READY, LONG_AGO, 4).round(1);
        int place = rig.all.size();
        rig.list(INCREMENTAL, state, LONG_AGO, 1).round(0.1);
        assertEquals(List.of("line 1 1 0.0"), rig.since(place, "line "));
    }

    @Test
    void aReturningNodeIsLetInOnlyAtItsColdWeight() {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        rig.list(INCREMENTAL, GONE, LONG_AGO, 1).run(3);
        rig.list(INCREMENTAL, READY, 104 * PolicyFixture.SECOND, 1).run(0.3);
        assertEquals(0, rig.weight(1, 1), "what old tables sent lies not yet behind");
        rig.run(1);
        assertTrue(rig.weight(1, 1) > 0 && rig.weight(1, 1) < 0.35, "weight " + rig.weight(1, 1));
        rig.run(20);
        assertEquals(1, rig.weight(1, 1), 0.08);
    }

    @Test
    void aRestartUnderAnOldLineDoesNotWaitForADeliveryInFlight() {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        rig.list(INCREMENTAL, READY, LONG_AGO, 4).round(1);
        rig.list(INCREMENTAL, READY, 103 * PolicyFixture.SECOND, 1).round(0.1);
        assertTrue(rig.weight(1, 1) < 0.2, "weight " + rig.weight(1, 1));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "6, false", "8, false"})
    void noSetOfSickNodesEmptiesATable(int sick, boolean trusted) {
        PolicyFixture rig = new PolicyFixture(settings()).start(8, 2);
        for (int i = 0; i < 6; i++) {
            for (int node = 0; node < 8; node++) {
                rig.sums(node, 10, node < sick ? 10 : 0, node < sick ? Double.NaN : 0.5);
            }
            rig.run(1);
        }
        double sickest =
                IntStream.range(0, sick).mapToDouble(n -> rig.weight(1, n)).max().orElseThrow();
        assertEquals(trusted, sickest < 0.2, "weight " + sickest);
    }

    @ParameterizedTest
    @CsvSource({
        "0.95, 5, false",
        "0.95, 10, true",
        "0.4, 5, true",
        "0.4, 1, false",
        "NaN, 10, true"
    })
    void anOverloadedNodeThatStillAnswersIsNotSick(
            double utilization, int unanswered, boolean sick) {
        PolicyFixture rig = new PolicyFixture(settings()).start(8, 2);
        for (int i = 0; i < 8; i++) {
            for (int node = 0; node < 8; node++) {
                rig.sums(
                        node,
                        10,
                        node == 0 && i > 1 ? unanswered : 0,
                        node == 0 ? utilization : 0.5);
            }
            rig.run(1);
        }
        assertEquals(sick, !rig.since(0, "log node 0 ejected").isEmpty());
        assertEquals(List.of(), rig.since(0, "log node 0 readmitted"));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 10, 20})
    void noProxyIsWrittenMoreMessagesThanItsLimit(int limit) {
        PolicyFixture rig = new PolicyFixture(settings(5000, limit, method(1))).start(2, 3);
        int place = rig.all.size();
        for (int node = 2; node < 42; node++) {
            rig.list(INCREMENTAL, READY, LONG_AGO, node).run(0.2);
        }
        assertTrue(rig.since(place, "mark ").size() < limit, rig.since(place, "mark ").toString());
        assertTrue(rig.weight(1, 2) > 0);
    }

    @ParameterizedTest
    @CsvSource({"0.9, 0.3", "0.8, 0.4"})
    void weightsFollowTheLoadAndSilenceChangesNothing(double busy, double idle) {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        for (int i = 0; i < 10; i++) {
            for (int node = 0; node < 4; node++) {
                rig.sums(node, 10, 0, node == 0 ? busy : idle);
            }
            rig.run(1);
        }
        assertTrue(rig.weight(1, 0) < 0.8 * rig.weight(1, 1));
        rig.run(20);
        int place = rig.all.size();
        rig.run(20);
        assertTrue(rig.since(place, "line ").size() <= 2, rig.since(place, "line ").toString());
    }

    @Test
    void theLowestCriticalityIsShedFirst() {
        PolicyFixture rig = new PolicyFixture(settings(2000, 30, method(1), method(3))).start(4, 2);
        for (int i = 0; i < 5; i++) {
            for (int node = 0; node < 4; node++) {
                rig.sums(node, 10, 0, 1);
            }
            for (int proxy = 0; proxy < 2; proxy++) {
                rig.offered(proxy, 0, 15).offered(proxy, 1, 10);
            }
            rig.run(1);
        }
        assertTrue(!rig.since(0, "level 0 ").isEmpty());
        assertEquals(List.of(), rig.since(0, "level 1 "));
    }

    @ParameterizedTest
    @CsvSource({"0.3, false", "0.5, false", "0.9, true"})
    void repeatsAloneStartNoSheddingWhereNodesAreNotBusy(double busy, boolean sheds) {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        for (int i = 0; i < 5; i++) {
            for (int node = 0; node < 4; node++) {
                rig.sums(node, 10, 0, busy);
            }
            rig.offered(0, 0, 300).offered(1, 0, 300).run(1);
        }
        assertEquals(sheds, !rig.since(0, "level 0 ").isEmpty());
    }

    @Test
    void sheddingStartsNotFromTheFirstFewNodesHeard() {
        PolicyFixture rig = new PolicyFixture(settings()).start(20, 2);
        rig.sums(0, 10, 0, 1).sums(1, 10, 0, 1).offered(0, 0, 300).run(1);
        assertEquals(List.of(), rig.since(0, "level 0 "));
    }

    @Test
    void theFirstStepAfterAStartGoesTheWholeWay() {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        for (int node = 0; node < 4; node++) {
            rig.sums(node, 30, 0, node % 2 == 0 ? 0.3 : 0.9);
        }
        rig.run(0.5);
        double ratio = rig.weight(1, 0) / rig.weight(1, 1);
        assertTrue(ratio > 2.5 && ratio < 3.5, "ratio " + ratio);
    }

    @Test
    void methodsOpenToOtherNodesHaveTheirOwnTable() {
        PolicyFixture rig =
                new PolicyFixture(settings(2000, 30, method(1), method(3, 0))).start(4, 1);
        assertEquals(List.of("bind 0 1", "bind 0 2"), rig.since(0, "bind "));
        assertEquals(0, rig.weight(2, 1));
        assertTrue(rig.weight(2, 0) > 0);
    }

    @Test
    void marksWrapRoundAndStillSettle() {
        PolicyFixture rig = new PolicyFixture(settings(2000, 0, method(1))).start(4, 1);
        for (int i = 0; i < 66_000; i++) {
            rig.with(o -> o.proxyLeft(new ProxyId(0))).join(0, 10);
            rig.answer(rig.round(0.001));
            rig.all.clear();
        }
        rig.run(1);
        rig.list(INCREMENTAL, READY, LONG_AGO, 4).run(4);
        assertEquals(1, rig.since(0, "line 1 4 ").size());
        assertEquals(List.of(), rig.since(0, "bind "));
    }

    @Test
    void aDrainingNodeOfAnOldListIsNeverLaid() {
        PolicyFixture rig =
                new PolicyFixture(settings())
                        .list(EventHandler.NodeListKind.CACHED, DRAINING, LONG_AGO, 9)
                        .start(4, 1);
        assertEquals(List.of(), rig.since(0, "line 1 9 "));
    }

    /**
     * All proxies of a lost conductor come to one that was down while a node left, so that it never
     * laid it; whole tables for all would take 5 to 10 of the 2 seconds of grace. The second time
     * it has proxies already.
     */
    @ParameterizedTest
    @CsvSource({"GONE, 45, 100", "DRAINING, 45, 100", "GONE, 20, 200", "DRAINING, 60, 100"})
    void aCrowdThatMayHoldWhatLeftIsBoundLightWithinTheGraceAndGetsTheRestLater(
            EventHandler.NodeState state, int crowd, int nodes) {
        PolicyFixture rig = new PolicyFixture(settings(8200, 30, method(1)));
        rig.slow = true;
        rig.list(
                        EventHandler.NodeListKind.CACHED,
                        READY,
                        LONG_AGO,
                        IntStream.range(0, nodes).toArray())
                .round(0);
        rig.list(INCREMENTAL, state, LONG_AGO, 7).run(0.1);
        IntStream.range(0, crowd).forEach(p -> rig.join(p, 5));
        rig.run(1.5);
        assertEquals(crowd, rig.since(0, "bind ").size());
        assertTrue(rig.mostWaiting <= 1700 + 40 * crowd, rig.mostWaiting + " lines waited");
        rig.run(60);
        assertEquals((nodes - 1L) * crowd, IntStream.range(0, nodes).mapToLong(rig::holders).sum());
        int place = rig.all.size();
        rig.list(INCREMENTAL, state, LONG_AGO, 8).run(3);
        IntStream.range(crowd, 2 * crowd).forEach(p -> rig.join(p, 5));
        rig.run(1.5);
        assertEquals(crowd, rig.since(place, "bind ").size());
        rig.run(60);
        assertEquals(
                (nodes - 2L) * 2 * crowd, IntStream.range(0, nodes).mapToLong(rig::holders).sum());
    }

    /**
     * Tables of a fifth of the lines for all would take 13 seconds; light ones take the channel 5,
     * in which no more waits than leaves within the grace, so that a node that leaves meanwhile is
     * still taken out in time.
     */
    @Test
    void theLargerTheCrowdTheLighterItsTables() {
        PolicyFixture rig = new PolicyFixture(settings(8200, 30, method(1)));
        rig.slow = true;
        rig.list(
                        EventHandler.NodeListKind.CACHED,
                        READY,
                        LONG_AGO,
                        IntStream.range(0, 200).toArray())
                .round(0);
        rig.list(INCREMENTAL, GONE, LONG_AGO, 7).run(0.1);
        IntStream.range(0, 250).forEach(p -> rig.join(p, 5));
        rig.run(4.8);
        assertEquals(250, rig.since(0, "bind ").size());
        assertTrue(rig.mostWaiting <= 2000, rig.mostWaiting + " lines waited");
        long used = IntStream.range(0, 200).filter(node -> rig.holders(node) > 0).count();
        assertTrue(used >= 100, used + " nodes are used by all groups together");
    }

    /**
     * So many wait that a word to each of them on what left would be more than the queue may hold.
     */
    @ParameterizedTest
    @CsvSource({"100, 3000", "140, 2000", "60, 900"})
    void whatLeavesWhileACrowdWaitsDoesNotFillTheQueue(int crowd, double queue) {
        PolicyFixture rig = new PolicyFixture(settings(queue, 30, method(1)));
        rig.slow = true;
        rig.start(100, 4).run(20);
        IntStream.range(4, 4 + crowd).forEach(p -> rig.join(p, 5));
        for (int node = 0; node < 30; node++) {
            rig.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.1);
        }
        rig.run(20);
        assertTrue(rig.mostWaiting <= queue, rig.mostWaiting + " lines waited");
        assertEquals(0, IntStream.range(0, 30).mapToLong(rig::holders).sum());
    }

    /**
     * What left before a conductor began is in no list that it is told of, but in the tables that
     * proxies bring; that nodes are young says that a release goes on.
     */
    @Test
    void aCrowdThatComesAfterAReleaseIsBoundLightThoughTheListNamesNothingThatLeft() {
        PolicyFixture rig = new PolicyFixture(settings(8200, 30, method(1)));
        rig.slow = true;
        rig.list(
                        EventHandler.NodeListKind.CACHED,
                        READY,
                        LONG_AGO,
                        IntStream.range(0, 100).toArray())
                .run(1);
        rig.list(INCREMENTAL, READY, 99 * PolicyFixture.SECOND, 7).run(0.1);
        IntStream.range(0, 45).forEach(p -> rig.join(p, 5));
        rig.run(1.5);
        assertEquals(45, rig.since(0, "bind ").size());
        assertTrue(rig.mostWaiting <= 3500, rig.mostWaiting + " lines waited");
        rig.run(30);
        assertEquals(4500, IntStream.range(0, 100).mapToLong(rig::holders).sum());
    }

    /** Full size: 110 nodes, up to 150 proxies; a site's nodes leave one by one and return cold. */
    @ParameterizedTest
    @CsvSource({"50, 3400, 30", "100, 3400, 30", "150, 4900, 20", "31, 1100, 30"})
    void nodesThatLeaveOneByOneKeepTheQueueAndTheMessages(int proxies, double queue, int limit) {
        PolicyFixture rig = new PolicyFixture(settings(queue, limit, method(1)));
        rig.slow = true;
        rig.start(110, proxies).run(20);
        for (int node = 0; node < 36; node++) {
            rig.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.2);
        }
        rig.run(4);
        assertTrue(rig.mostWaiting <= queue, rig.mostWaiting + " lines waited");
        assertTrue(rig.mostMessages <= limit, rig.mostMessages + " messages to one proxy");
        assertEquals(
                0,
                IntStream.range(0, 36).mapToLong(rig::holders).sum(),
                "nodes that left are held");
        rig.list(INCREMENTAL, READY, 126 * PolicyFixture.SECOND, IntStream.range(0, 36).toArray())
                .run(30);
        assertEquals(
                36L * proxies,
                IntStream.range(0, 36).mapToLong(rig::holders).sum(),
                "returned nodes");
    }

    /** One conductor takes over from another while nodes leave. */
    @ParameterizedTest
    @CsvSource({"75, 75, 4900, 20", "50, 50, 3400, 30", "15, 16, 1100, 30"})
    void aCrowdThatJoinsIsBoundWithinTheQueueAndTheMessages(
            int proxies, int more, double queue, int limit) {
        PolicyFixture rig = new PolicyFixture(settings(queue, limit, method(1)));
        rig.slow = true;
        rig.start(110, proxies).run(20);
        IntStream.range(proxies, proxies + more).forEach(p -> rig.join(p, 5));
        for (int node = 0; node < 10; node++) {
            rig.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.3);
        }
        rig.run(20);
        assertTrue(rig.mostWaiting <= queue, rig.mostWaiting + " lines waited");
        assertTrue(rig.mostMessages <= limit, rig.mostMessages + " messages to one proxy");
        assertEquals(
                100L * (proxies + more), IntStream.range(10, 110).mapToLong(rig::holders).sum());
        assertEquals(0, IntStream.range(0, 10).mapToLong(rig::holders).sum());
    }

    @ParameterizedTest
    @CsvSource({"0.1, 0.2, 1.0", "0.3, 0.2, 0.7", "0.6, 0.2, 0.7"})
    void aReportOfLittleLoadMakesNoNodeLargerThanItsLatencyAllows(
            double latency, double reported, double most) {
        PolicyFixture rig = new PolicyFixture(settings()).start(10, 4);
        for (int i = 0; i < 40; i++) {
            for (int node = 0; node < 10; node++) {
                rig.latency = node == 0 ? latency : 0.1;
                rig.sums(node, 10, 0, node == 0 ? reported : 0.5);
            }
            rig.run(1);
        }
        double share = rig.weight(1, 0) / rig.weight(1, 2);
        assertEquals(most < 1, share < most, "weight " + share);
    }

    @Test
    void inputThatMakesNoSenseIsPassedOver() {
        PolicyFixture rig = new PolicyFixture(settings()).start(4, 2);
        int place = rig.all.size();
        rig.sums(99, 10, 10, 0.9)
                .offered(99, 0, 10)
                .offered(0, 0, 0)
                .with(o -> o.proxyLeft(new ProxyId(98)));
        rig.with(o -> o.acknowledged(new ProxyId(99), 5, 1))
                .with(o -> o.acknowledged(new ProxyId(0), 4711, 1));
        rig.list(INCREMENTAL, READY, LONG_AGO).run(1);
        assertEquals(
                List.of(),
                rig.all.subList(place, rig.all.size()).stream()
                        .filter(line -> !line.equals("wake"))
                        .toList());
    }
}
