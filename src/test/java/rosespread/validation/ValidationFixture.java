package rosespread.validation;

import java.util.Map;
import java.util.TreeMap;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.ValidationContext;

/** Parses tables and node facts from text. */
final class ValidationFixture {
    static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private static final double COLD_WARMTH = 0.2;

    private ValidationFixture() {}

    /** Parses weight entries such as "1=0.5 2=1"; null for none. */
    static Map<NodeId, Double> entries(String text) {
        Map<NodeId, Double> entries = new TreeMap<>();
        for (String entry : splitAtSpaces(text)) {
            String[] nodeAndWeight = entry.split("=");
            entries.put(
                    new NodeId(Long.parseLong(nodeAndWeight[0])),
                    Double.parseDouble(nodeAndWeight[1]));
        }
        return entries;
    }

    /**
     * Parses node ids with an optional letter: c for warming up, d for draining, g for gone, x for
     * not allowed; a node without a letter is ready and warm.
     */
    static ValidationContext context(
            String nodes, boolean largeMoveExpected, double deliverableEntries) {
        Map<NodeId, NodeFact> facts = new TreeMap<>();
        for (String node : splitAtSpaces(nodes)) {
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

    private static String[] splitAtSpaces(String text) {
        return text == null ? new String[0] : text.split(" ");
    }
}
