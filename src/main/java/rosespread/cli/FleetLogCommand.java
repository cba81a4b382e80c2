package rosespread.cli;

import java.util.List;
import picocli.CommandLine.Command;
import rosespread.fleet.AuditEntry;
import rosespread.fleet.FleetResponse;

/** Prints the audit logs of all controllers, merged and sorted by time. */
@Command(
        name = "log",
        mixinStandardHelpOptions = true,
        description = "Prints the operators' actions at all controllers, sorted by time.")
final class FleetLogCommand extends FleetQueryCommand {
    FleetLogCommand() {
        super("/v1/acts");
    }

    @Override
    void print(List<FleetResponse> responses) {
        responses.forEach(this::printFailure);
        responses.stream()
                .flatMap(
                        response ->
                                AuditEntry.parseAll(response.body()).stream()
                                        .map(entry -> row(response.address(), entry)))
                .sorted()
                .forEach(out()::println);
    }

    /** Formats a row that starts with the time, so that sorting the rows sorts them by time. */
    private static String row(String address, AuditEntry entry) {
        return String.format(
                "%s  %-22s %-12s %-50s %s",
                entry.at(), address, entry.operator(), entry.action(), entry.outcome());
    }
}
