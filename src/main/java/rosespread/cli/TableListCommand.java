package rosespread.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.util.List;
import picocli.CommandLine.Command;
import rosespread.fleet.TableSummary;

/** Prints a line for each table. */
@Command(name = "list", mixinStandardHelpOptions = true, description = "Prints one line per table.")
final class TableListCommand extends TableSubcommand {
    private static final String HEADER = "%5s %8s %6s %9s %8s  %s%n";
    private static final String ROW = "%5d %8d %6d %9s %8d  %s%n";

    @Override
    int execute() throws IOException {
        JsonNode tables = tables();
        if (isJson()) {
            out().println(tables.toPrettyString());
            return ExitCodes.DONE;
        }
        out().printf(HEADER, "table", "version", "lines", "held", "refused", "refusals");
        TableSummary.parseAll(tables).forEach(this::print);
        return ExitCodes.DONE;
    }

    private void print(TableSummary table) {
        out().printf(
                        ROW,
                        table.number(),
                        table.version(),
                        table.weights().size(),
                        table.hold(),
                        table.rejectedChanges(),
                        jsonArray(table.rejections()));
    }

    private static String jsonArray(List<String> values) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        values.forEach(array::add);
        return array.toString();
    }
}
