package rosespread.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.util.List;
import picocli.CommandLine.Command;
import rosespread.fleet.Completion;
import rosespread.fleet.FieldChange;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;
import rosespread.fleet.JsonDiff;

/** Prints the fields that the settings on standard input would change at each controller. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description =
                "Prints the fields that the settings on standard input would change at each"
                        + " controller.")
final class FleetSettingsDiffCommand extends FleetSubcommand {
    @Override
    int run(Fleet fleet) throws IOException {
        JsonNode desired;
        try {
            desired = new ObjectMapper().readTree(StandardInput.readAll());
        } catch (JsonProcessingException e) {
            err().println("standard input is not JSON: " + e.getOriginalMessage());
            return ExitCodes.BAD_INPUT;
        }
        List<FleetResponse> responses = fleet.request("GET", "/v1/settings", "");
        responses.forEach(response -> print(response, desired));
        return ExitCodes.of(Completion.of(responses));
    }

    private void print(FleetResponse response, JsonNode desired) {
        if (!response.isOk() && !response.isNotFound()) {
            printFailure(response);
            return;
        }
        // A controller without settings responds "not found"; every field then counts as new.
        JsonNode current = response.isOk() ? response.body() : MissingNode.getInstance();
        List<FieldChange> changes = JsonDiff.between(current, desired);
        out().println(response.address() + ": " + changes.size() + " fields change");
        changes.forEach(change -> out().println("  " + change.describe()));
    }
}
