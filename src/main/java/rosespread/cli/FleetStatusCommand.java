package rosespread.cli;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import rosespread.fleet.ControllerSummary;
import rosespread.fleet.FleetDifference;
import rosespread.fleet.FleetDifferences;
import rosespread.fleet.FleetResponse;

/** Prints a line for each controller, and the differences between the controllers. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints one line per controller and the differences between them.")
final class FleetStatusCommand extends FleetQueryCommand {
    private static final String HEADER = "%-22s %-10s %-22s %9s %-26s %8s %8s %-8s  %s%n";
    private static final String ROW = "%-22s %-10s %-22s %4d/%-4d %-26s %8d %8s %-8s  %s%n";
    private static final String FAILED_ROW = "%-22s %-10s %s%n";

    FleetStatusCommand() {
        super("/v1/status");
    }

    @Override
    void print(List<FleetResponse> responses) {
        out().printf(
                        HEADER,
                        "conductor",
                        "name",
                        "phase",
                        "proxies",
                        "nodes",
                        "waiting",
                        "settings",
                        "held",
                        "trouble");
        responses.forEach(this::printRow);
        for (FleetDifference difference : FleetDifferences.between(responses)) {
            out().println("! " + difference.describe());
        }
    }

    private void printRow(FleetResponse response) {
        if (!response.isOk()) {
            out().printf(FAILED_ROW, response.address(), "-", response.detail());
            return;
        }
        ControllerSummary summary = ControllerSummary.parse(response.body());
        out().printf(
                        ROW,
                        response.address(),
                        summary.name(),
                        summary.phase(),
                        summary.subscribedProxies(),
                        summary.proxies(),
                        nodes(summary),
                        summary.queuedEntries(),
                        revision(summary),
                        summary.heldTables() + "/" + summary.tables(),
                        String.join("; ", summary.faults()));
    }

    private static String nodes(ControllerSummary summary) {
        return summary.nodesByState().entrySet().stream()
                .map(count -> count.getValue() + " " + count.getKey().toLowerCase(Locale.ROOT))
                .collect(Collectors.joining(", "));
    }

    private static String revision(ControllerSummary summary) {
        return summary.settings().map(s -> String.valueOf(s.revision())).orElse("none");
    }
}
