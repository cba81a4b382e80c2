package rosespread.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import rosespread.fleet.FleetResponse;
import rosespread.fleet.NodeSummary;

/** Prints a line for each node; several where controllers disagree about it. */
@Command(
        name = "nodes",
        mixinStandardHelpOptions = true,
        description =
                "Nodes as the controllers list them; one line a node, with where they differ.")
final class FleetNodesCommand extends FleetQueryCommand {
    FleetNodesCommand() {
        super("/v1/nodes");
    }

    @Override
    void print(List<FleetResponse> responses) {
        responses.forEach(this::printFailure);
        long answered = responses.stream().filter(FleetResponse::isOk).count();
        addressesByNodeAndRow(responses)
                .forEach((node, addressesByRow) -> printNode(node, addressesByRow, answered));
    }

    /** The control addresses whose controllers report each row, by the node's name and the row. */
    private static SortedMap<String, SortedMap<String, List<String>>> addressesByNodeAndRow(
            List<FleetResponse> responses) {
        SortedMap<String, SortedMap<String, List<String>>> byNode = new TreeMap<>();
        for (FleetResponse response : responses) {
            for (NodeSummary node : NodeSummary.parseAll(response.body())) {
                byNode.computeIfAbsent(node.name(), name -> new TreeMap<>())
                        .computeIfAbsent(row(node), row -> new ArrayList<>())
                        .add(response.address());
            }
        }
        return byNode;
    }

    private static String row(NodeSummary node) {
        return String.format(
                "%-22s %-10s %-10s %s%s",
                node.address(),
                node.zone(),
                node.machineType(),
                node.state(),
                node.drainedBy().map(operator -> ", drained by " + operator).orElse(""));
    }

    private void printNode(String node, Map<String, List<String>> addressesByRow, long answered) {
        addressesByRow.forEach(
                (row, addresses) -> {
                    boolean agreed = addressesByRow.size() == 1 && addresses.size() >= answered;
                    String where = agreed ? "" : "   (at " + String.join(", ", addresses) + ")";
                    out().printf("%-20s %s%s%n", node, row, where);
                });
    }
}
