package rosespread.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import rosespread.fleet.TableSummary;

/** Prints a table's weight entries and its stored versions. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints a table's weight entries and stored versions.")
final class TableShowCommand extends TableSubcommand {
    private static final String ENTRY_ROW = "  %-30s %10.4f%n";
    private static final String VERSION_HEADER = "%8s %-10s %-24s %6s %7s  %s%n";
    private static final String VERSION_ROW = "%8d %-10s %-24s %6d %7d  %s%n";

    @Parameters(paramLabel = "TABLE")
    private int number;

    @Override
    int execute() throws IOException {
        Optional<JsonNode> table = find(tables());
        if (table.isEmpty()) {
            err().println("no table " + number);
            return ExitCodes.FAILED;
        }
        if (isJson()) {
            out().println(table.get().toPrettyString());
        } else {
            print(TableSummary.parse(table.get()));
        }
        return ExitCodes.DONE;
    }

    private Optional<JsonNode> find(JsonNode tables) {
        for (JsonNode table : tables) {
            if (table.path("table").asInt() == number) {
                return Optional.of(table);
            }
        }
        return Optional.empty();
    }

    private void print(TableSummary table) {
        out().println(
                        "table "
                                + number
                                + ", version "
                                + table.version()
                                + ", held "
                                + table.hold());
        table.weights()
                .forEach((node, weight) -> out().printf(Locale.ROOT, ENTRY_ROW, node, weight));
        out().printf(VERSION_HEADER, "version", "cause", "at", "lines", "changed", "digest");
        table.versions().forEach(this::print);
    }

    private void print(TableSummary.Version version) {
        out().printf(
                        VERSION_ROW,
                        version.number(),
                        version.cause(),
                        version.at(),
                        version.entries(),
                        version.changedEntries(),
                        version.digest());
    }
}
