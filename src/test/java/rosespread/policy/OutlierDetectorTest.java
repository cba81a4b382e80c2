package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MachineTypeId;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.api.ZoneId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

class OutlierDetectorTest {
    private static final long NOW = 100 * TimeUnits.SECOND;
    private final PolicySettings settings = new SettingsBuilder().build();
    private final NodeRegistry nodes = new NodeRegistry();
    private final ShardRegistry shards = new ShardRegistry(settings);
    private final OutlierDetector detector =
            new OutlierDetector(
                    nodes,
                    shards,
                    new EligibleNodes(nodes, new SlowStart(settings)),
                    new ReportWindows(settings));
    private final ShardTable table = shards.tables().get(0);

    private List<Node> add(int count) {
        return IntStream.range(0, count).mapToObj(this::addNode).toList();
    }

    private Node addNode(int id) {
        Node node = new Node(new NodeId(id), OutlierDetector.HEALTH_WINDOW_NANOS);
        node.setListedAttributes(new MachineTypeId(0), new ZoneId(0), 1);
        node.setState(NodeState.READY, NOW);
        nodes.add(node);
        return node;
    }

    private void evaluate() {
        detector.evaluate(new RoundContext(NOW, new RecordingActions()));
    }

    @ParameterizedTest
    @CsvSource({"0, false", "4, false", "5, true", "8, true"})
    void panicModeStartsIfMoreThanHalfOfCapacityIsEjected(int ejected, boolean panic) {
        add(8).subList(0, ejected).forEach(node -> node.eject(NOW));
        evaluate();
        assertEquals(panic, table.panicking());
    }

    @ParameterizedTest
    @CsvSource({"7, 3, true", "6, 6, false", "20, 6, false", "20, 8, true"})
    void ejectsNodeWithOutlyingFailureRatio(int attempts, int failures, boolean ejected) {
        List<Node> all = add(4);
        all.forEach(node -> node.addAttempts(NOW, 20, 0));
        Node failing = addNode(9);
        failing.addAttempts(NOW, attempts, failures);
        evaluate();
        assertEquals(ejected, failing.ejected());
    }

    @ParameterizedTest
    @CsvSource({"0, 0.02", "3.9, 0.02", "4, 0.1", "60, 0.1"})
    void ejectedNodeKeepsSmallWeightThenMoreOnProbation(double seconds, double ratio) {
        Node node = addNode(0);
        node.eject(NOW);
        long later = NOW + (long) (seconds * TimeUnits.SECOND);
        assertEquals(ratio, detector.weightRatio(node, table, later));
    }

    @Test
    void panicModeKeepsWeightOfEjectedNodes() {
        Node node = addNode(0);
        node.eject(NOW);
        evaluate();
        assertEquals(1, detector.weightRatio(node, table, NOW));
    }
}
