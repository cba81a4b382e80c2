package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MachineTypeId;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ProxyShard;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;
import rosespread.stats.InFlightMessages;

class ReconnectHandlerTest {
    private static final long NOW = 100 * TimeUnits.SECOND;
    private final PolicySettings settings = new SettingsBuilder().build();
    private final NodeRegistry nodes = new NodeRegistry();
    private final ProxyRegistry proxies = new ProxyRegistry();
    private final ShardRegistry shards = new ShardRegistry(settings);
    private final ProxyShard first = shards.shards().get(0);
    private final ReconnectHandler handler = handler();

    private ReconnectHandler handler() {
        InFlightMessages inFlight = new InFlightMessages();
        OutgoingRound outgoing = new OutgoingRound(settings, proxies, inFlight);
        ChannelBudget budget = new ChannelBudget(settings, inFlight, outgoing);
        EligibleNodes eligible = new EligibleNodes(nodes, new SlowStart(settings));
        ShardAssigner assigner =
                new ShardAssigner(settings, shards, eligible, budget, new RoundTriggers());
        return new ReconnectHandler(
                settings,
                nodes,
                proxies,
                shards,
                eligible,
                new DepartedNodes(nodes),
                budget,
                assigner);
    }

    private Node addNode(int id, NodeState state) {
        Node node = new Node(new NodeId(id), OutlierDetector.HEALTH_WINDOW_NANOS);
        node.setListedAttributes(new MachineTypeId(0), new ZoneId(0), 1);
        node.setState(state, NOW);
        nodes.add(node);
        return node;
    }

    private void addNodes(int ready) {
        for (int i = 0; i < ready; i++) {
            addNode(i, NodeState.READY);
        }
    }

    private Proxy join(int id) {
        Proxy proxy = new Proxy(new ProxyId(id), new ZoneId(0), 10, first, NOW);
        proxies.add(proxy);
        return proxy;
    }

    @ParameterizedTest
    @CsvSource({"400, 25", "200, 25", "199, 24", "100, 12"})
    void splitsEntriesIntoUpToTwentyFivePartsOfAtLeastEight(int ready, long parts) {
        addNodes(ready);
        addNode(1000, NodeState.GONE);
        for (int i = 0; i < 200; i++) {
            join(i);
        }
        handler.evaluate(NOW);
        assertEquals(parts, first.tables().get(0).parts());
    }

    @ParameterizedTest
    @CsvSource({"0, true", "4, true", "5, false"})
    void reconnectIsInProgressForTwoDrainTimeoutsAfterDeparture(
            double seconds, boolean inProgress) {
        addNodes(100);
        addNode(1000, NodeState.GONE);
        for (int i = 0; i < 50; i++) {
            join(i);
        }
        handler.evaluate(NOW + (long) (seconds * TimeUnits.SECOND) - 1);
        assertEquals(inProgress, handler.inProgress());
    }

    /**
     * With 100 nodes in 12 parts, a partial table has 8.3 entries; 240 proxies make 20 per part.
     */
    @ParameterizedTest
    @CsvSource({"8, 20", "12, 20", "13, 1"})
    void subscribedShardTakesProxiesWhileItsTablesAreNearlyPartial(int entries, int members) {
        addNodes(100);
        addNode(1000, NodeState.GONE);
        ShardTable table = first.tables().get(0);
        for (int i = 0; i < entries; i++) {
            table.commit(new NodeId(i), 1);
            table.deliverPending(new NodeId(i));
        }
        join(0).subscribe(1, NOW);
        for (int i = 1; i < 240; i++) {
            join(i);
        }
        handler.evaluate(NOW);
        assertEquals(members, first.size());
    }
}
