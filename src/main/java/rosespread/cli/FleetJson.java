package rosespread.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import rosespread.fleet.FleetResponse;

/** Formats a fleet's responses as one JSON object with a field for each control address. */
final class FleetJson {
    private FleetJson() {}

    static String format(List<FleetResponse> responses) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        for (FleetResponse response : responses) {
            ObjectNode entry = document.putObject(response.address());
            entry.put("status", response.status());
            if (response.isReceived()) {
                entry.set("answer", response.body());
            } else {
                entry.put("detail", response.detail()).put("mayHaveRun", response.mayHaveRun());
            }
        }
        return document.toPrettyString();
    }
}
