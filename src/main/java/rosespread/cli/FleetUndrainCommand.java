package rosespread.cli;

import picocli.CommandLine.Command;
import rosespread.fleet.Fleet;

/** Ends the drain of a node at all controllers. */
@Command(
        name = "undrain",
        mixinStandardHelpOptions = true,
        description = "Ends the drain of a node.")
final class FleetUndrainCommand extends FleetNodeCommand {
    @Override
    int run(Fleet fleet) {
        return change(fleet, "undrain", "");
    }
}
