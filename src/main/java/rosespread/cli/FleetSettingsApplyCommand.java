package rosespread.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rosespread.fleet.Completion;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;
import rosespread.fleet.RolloutEvent;
import rosespread.fleet.StagedSettingsRollout;

/** Applies the settings on standard input to one controller after the other. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description =
                "Applies the settings on standard input to one controller after the other, and"
                        + " stops at the first failure.",
        footer = {
            "",
            "Example: rosespread fleet settings apply --fleet 127.0.0.1:7401 < fleet.json"
        })
final class FleetSettingsApplyCommand extends FleetSubcommand {
    @Option(names = "--dry-run", description = "Only checks the settings, at every controller.")
    private boolean dryRun;

    @Option(
            names = "--patience",
            defaultValue = "15",
            paramLabel = "SECONDS",
            description = "Time for a controller's proxies to subscribe again (${DEFAULT-VALUE}).")
    private double resubscribeTimeoutSeconds;

    @Override
    int run(Fleet fleet) throws IOException, InterruptedException {
        String settings = StandardInput.readAll();
        return ExitCodes.of(dryRun ? check(fleet, settings) : apply(fleet, settings));
    }

    private Completion check(Fleet fleet, String settings) {
        List<FleetResponse> responses = fleet.request("PUT", "/v1/settings?dry-run=true", settings);
        out().println(FleetJson.format(responses));
        return Completion.of(responses);
    }

    private Completion apply(Fleet fleet, String settings) throws InterruptedException {
        Duration resubscribeTimeout = Seconds.toDuration(resubscribeTimeoutSeconds);
        StagedSettingsRollout rollout =
                new StagedSettingsRollout(fleet, resubscribeTimeout, this::print);
        return rollout.run(settings, UUID.randomUUID().toString());
    }

    /** Prints the event at once, since the next controller may take long. */
    private void print(RolloutEvent event) {
        out().println(event.describe());
        out().flush();
    }
}
