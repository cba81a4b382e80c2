package rosespread.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import rosespread.fleet.FleetResponse;
import rosespread.fleet.NodeSummary;

/** Prints a line for each node, or several lines where controllers differ about the node. */
@Command(
        name = "nodes",
        mixinStandardHelpOptions = true,
        description = "Prints one line per node, or several lines where controllers differ.")
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

    /** Returns the control addresses of the controllers that report each row, by node and row. */
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
