package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides from conductors' own words whether a drained node is empty: told as draining, no try
 * reported for a while, and every proxy heard lately, as a proxy that is not heard may go on
 * sending unseen.
 */
public final class EmptyNodeCheck {
    private EmptyNodeCheck() {}

    /** Why it is not known to be empty yet, a sentence a conductor; empty if it is. */
    public static List<String> blockers(String node, List<FleetResponse> nodes, long quietMillis) {
        List<String> reasons = new ArrayList<>();
        for (FleetResponse reply : nodes) {
            if (!reply.isOk()) {
                reasons.add(reply.address() + " does not answer: " + reply.detail());
                continue;
            }
            for (JsonNode each : reply.body()) {
                String name = each.path("name").asText();
                if (!name.equals(node)
                        && !(name + "@" + each.path("address").asText()).equals(node)) {
                    continue;
                }
                long ago = each.path("triedAgoMs").asLong(-1);
                if (each.path("state").asText().equals("READY")) {
                    reasons.add(reply.address() + " still lists it as ready");
                } else if (ago >= 0 && ago < quietMillis) {
                    reasons.add(reply.address() + " heard of a try " + ago + " ms ago");
                } else if (each.path("unheard").asInt() > 0) {
                    reasons.add(
                            reply.address()
                                    + " cannot know: "
                                    + each.path("unheard")
                                    + " of its proxies have not reported");
                }
            }
        }
        return reasons;
    }
}
