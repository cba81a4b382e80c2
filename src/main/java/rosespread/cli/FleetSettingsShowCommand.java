package rosespread.cli;

import java.util.List;
import picocli.CommandLine.Command;
import rosespread.fleet.FleetResponse;

/** Prints the settings of each controller, always as JSON. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints the settings of each controller, always as JSON.")
final class FleetSettingsShowCommand extends FleetQueryCommand {
    FleetSettingsShowCommand() {
        super("/v1/settings");
    }

    @Override
    void print(List<FleetResponse> responses) {
        out().println(FleetJson.format(responses));
    }
}
