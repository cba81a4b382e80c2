package rosespread.cli;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import rosespread.fleet.FleetResponse;
import rosespread.fleet.WeightChange;

/** Prints the weight entries in which two stored versions of a table differ. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = "Prints the weight entries in which two stored versions of a table differ.",
        footer = {"", "Example: rosespread table diff 1 41 42"})
final class TableDiffCommand extends TableSubcommand {
    private static final String ROW = "%s %-30s %10s %10s%n";

    @Parameters(paramLabel = "TABLE", index = "0")
    private int table;

    @Parameters(paramLabel = "FROM", index = "1")
    private long from;

    @Parameters(paramLabel = "TO", index = "2")
    private long to;

    @Override
    int execute() throws IOException {
        FleetResponse response = get("/v1/tables/" + table + "/diff?from=" + from + "&to=" + to);
        if (!response.isOk()) {
            err().println(response.detail());
            return ExitCodes.FAILED;
        }
        if (isJson()) {
            out().println(response.body().toPrettyString());
        } else {
            print(WeightChange.parseAll(response.body()));
        }
        return ExitCodes.DONE;
    }

    private void print(List<WeightChange> changes) {
        out().println(
                        "table "
                                + table
                                + ", version "
                                + from
                                + " to "
                                + to
                                + ", "
                                + changes.size()
                                + " lines change");
        changes.forEach(this::print);
    }

    private void print(WeightChange change) {
        out().printf(
                        Locale.ROOT,
                        ROW,
                        sign(change),
                        change.node(),
                        weight(change.before()),
                        weight(change.after()));
    }

    private static String sign(WeightChange change) {
        if (change.isAdded()) {
            return "+";
        }
        return change.isRemoved() ? "-" : "~";
    }

    private static String weight(double weight) {
        return weight == 0 ? "none" : String.format(Locale.ROOT, "%.4f", weight);
    }
}
