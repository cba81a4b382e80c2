package rosespread.validation;

import java.util.Map;
import java.util.TreeMap;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.ValidationContext;

/** Tables and node facts written as text. */
final class ValidationFixture {
    static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private static final double COLD_WARMTH = 0.2;

    private ValidationFixture() {}

    /** Weight entries: "1=0.5 2=1"; null for none. */
    static Map<NodeId, Double> entries(String text) {
        Map<NodeId, Double> entries = new TreeMap<>();
        for (String entry : words(text)) {
            String[] part = entry.split("=");
            entries.put(new NodeId(Long.parseLong(part[0])), Double.parseDouble(part[1]));
        }
        return entries;
    }

    /** Node facts: "1 2c 3d 4g 5x" are ready, warming up, draining, gone and not open. */
    static ValidationContext context(
            String nodes, boolean largeMoveExpected, double deliverableEntries) {
        Map<NodeId, NodeFact> facts = new TreeMap<>();
        for (String node : words(nodes)) {
            NodeId id = new NodeId(Long.parseLong(node.replaceAll("[a-z]", "")));
            facts.put(
                    id,
                    new NodeFact(
                            state(node),
                            node.contains("c") ? COLD_WARMTH : 1,
                            !node.contains("x")));
        }
        return new ValidationContext(facts, 1, largeMoveExpected, deliverableEntries);
    }

    private static NodeState state(String node) {
        if (node.contains("d")) {
            return NodeState.DRAINING;
        }
        return node.contains("g") ? NodeState.GONE : NodeState.READY;
    }

    private static String[] words(String text) {
        return text == null ? new String[0] : text.split(" ");
    }
}
