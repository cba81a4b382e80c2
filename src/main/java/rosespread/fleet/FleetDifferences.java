package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * What conductors of a fleet do not have in common though they should: decided from their status
 * alone.
 */
public final class FleetDifferences {
    private FleetDifferences() {}

    /** A sentence for each difference, in a steady order; empty if all that answered are alike. */
    public static List<String> between(List<FleetResponse> replies) {
        List<FleetResponse> answered = replies.stream().filter(FleetResponse::isOk).toList();
        List<String> told = new ArrayList<>();
        differ(
                answered,
                "settings",
                body ->
                        body.has("settingsRevision")
                                ? "revision "
                                        + body.path("settingsRevision")
                                        + " by "
                                        + body.path("settingsBy").asText()
                                : "none",
                told);
        differ(
                answered,
                "nodes listed",
                body -> {
                    int all = 0;
                    for (JsonNode count : body.path("nodes")) {
                        all += count.asInt();
                    }
                    return String.valueOf(all);
                },
                told);
        Set<String> drained = new TreeSet<>();
        answered.forEach(
                reply -> reply.body().path("drained").fieldNames().forEachRemaining(drained::add));
        for (String node : drained) {
            List<String> without =
                    answered.stream()
                            .filter(r -> !r.body().path("drained").has(node))
                            .map(FleetResponse::address)
                            .toList();
            if (!without.isEmpty()) {
                told.add("node " + node + " is drained, but not at " + String.join(", ", without));
            }
        }
        return told;
    }

    private static void differ(
            List<FleetResponse> replies,
            String what,
            Function<JsonNode, String> value,
            List<String> told) {
        Map<String, List<String>> byValue = new TreeMap<>();
        replies.forEach(
                reply ->
                        byValue.computeIfAbsent(value.apply(reply.body()), v -> new ArrayList<>())
                                .add(reply.address()));
        if (byValue.size() > 1) {
            List<String> parts = new ArrayList<>();
            byValue.forEach((each, at) -> parts.add(each + " at " + String.join(", ", at)));
            told.add(what + " differ: " + String.join("; ", parts));
        }
    }
}
