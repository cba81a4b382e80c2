package rosespread.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/** Compares the parts of the controllers' statuses that should be the same in a whole fleet. */
public final class FleetDifferences {
    /** A controller's status with the control address of the controller. */
    private record Status(String address, ControllerSummary summary) {}

    private FleetDifferences() {}

    /**
     * Compares responses to {@code GET /v1/status}; unsuccessful responses are ignored.
     *
     * @return the differences in the order settings, number of nodes, drains sorted by the node's
     *     name; empty if the controllers agree
     */
    public static List<FleetDifference> between(List<FleetResponse> responses) {
        List<Status> statuses =
                responses.stream()
                        .filter(FleetResponse::isOk)
                        .map(r -> new Status(r.address(), ControllerSummary.parse(r.body())))
                        .toList();
        List<FleetDifference> differences = new ArrayList<>();
        compare("settings", statuses, FleetDifferences::settings).ifPresent(differences::add);
        compare(
                        "numbers of listed nodes",
                        statuses,
                        summary -> String.valueOf(summary.listedNodes()))
                .ifPresent(differences::add);
        differences.addAll(missingDrains(statuses));
        return differences;
    }

    private static String settings(ControllerSummary summary) {
        return summary.settings()
                .map(settings -> "revision " + settings.revision() + " by " + settings.operator())
                .orElse("none");
    }

    private static Optional<FleetDifference> compare(
            String subject, List<Status> statuses, Function<ControllerSummary, String> value) {
        SortedMap<String, List<String>> addressesByValue = new TreeMap<>();
        for (Status status : statuses) {
            addressesByValue
                    .computeIfAbsent(value.apply(status.summary()), v -> new ArrayList<>())
                    .add(status.address());
        }
        if (addressesByValue.size() < 2) {
            return Optional.empty();
        }
        return Optional.of(
                new FleetDifference.Value(
                        subject, Collections.unmodifiableSortedMap(addressesByValue)));
    }

    private static List<FleetDifference> missingDrains(List<Status> statuses) {
        TreeSet<String> drained = new TreeSet<>();
        statuses.forEach(status -> drained.addAll(status.summary().drainedNodes()));
        List<FleetDifference> missing = new ArrayList<>();
        for (String node : drained) {
            List<String> addresses =
                    statuses.stream()
                            .filter(status -> !status.summary().drainedNodes().contains(node))
                            .map(Status::address)
                            .toList();
            if (!addresses.isEmpty()) {
                missing.add(new FleetDifference.MissingDrain(node, addresses));
            }
        }
        return missing;
    }
}
