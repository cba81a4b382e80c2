package rosespread.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/** Looks at a conductor's tables and their versions, and goes back to one. */
@Command(
        name = "table",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description = "Shows a conductor's tables and versions, holds them, goes back.",
        subcommands = {
            TableCommand.ListTables.class,
            TableCommand.Show.class,
            TableCommand.Diff.class,
            TableCommand.Rollback.class,
            TableCommand.Pin.class,
            TableCommand.Release.class
        },
        footer = {"", "Example: rosespread table rollback 1 42 --control 127.0.0.1:7401"})
final class TableCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** One call to the control API. */
    abstract static class Call implements Callable<Integer> {
        private static final long TIMEOUT = 3_000_000_000L;

        @Option(
                names = "--control",
                defaultValue = "127.0.0.1:7401",
                converter = AddressConverter.class,
                description = "The conductor's control address (${DEFAULT-VALUE}).")
        private InetSocketAddress control;

        @Option(names = "--json", description = "Prints the answer as JSON.")
        private boolean asJson;

        @Spec private CommandSpec spec;

        abstract Integer run(PrintWriter out, PrintWriter err) throws IOException;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            Integer code = run(out, spec.commandLine().getErr());
            out.flush();
            return code;
        }

        boolean asJson() {
            return asJson;
        }

        /**
         * @throws IOException if no answer came
         */
        FleetResponse ask(String verb, String path) throws IOException {
            try (Fleet fleet =
                    new Fleet(List.of(control), System.getProperty("user.name"), TIMEOUT)) {
                FleetResponse reply = fleet.ask(control, verb, path, "");
                if (reply.status() == 0) {
                    throw new IOException(reply.address() + ": " + reply.detail());
                }
                return reply;
            }
        }

        JsonNode tables() throws IOException {
            return ask("GET", "/v1/tables").body();
        }

        Integer act(String path, PrintWriter out, PrintWriter err) throws IOException {
            FleetResponse reply = ask("POST", path);
            (reply.isOk() ? out : err)
                    .println(
                            asJson()
                                    ? reply.body().toPrettyString()
                                    : !reply.isOk()
                                            ? reply.detail()
                                            : reply.body().path("kept").asBoolean()
                                                    ? "done"
                                                    : "done, but not kept: a restart of the conductor forgets it; see /v1/state");
            err.flush();
            return reply.isOk() ? 0 : 1;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "One line a table.")
    static final class ListTables extends Call {
        @Override
        Integer run(PrintWriter out, PrintWriter err) throws IOException {
            JsonNode all = tables();
            if (asJson()) {
                out.println(all.toPrettyString());
                return 0;
            }
            out.printf(
                    "%5s %8s %6s %9s %8s  %s%n",
                    "table", "version", "lines", "held", "refused", "refusals");
            all.forEach(
                    t ->
                            out.printf(
                                    "%5d %8d %6d %9s %8d  %s%n",
                                    t.path("table").asInt(),
                                    t.path("version").asLong(),
                                    t.path("lines").size(),
                                    t.path("held").asText(),
                                    refused(t.path("refused")),
                                    t.path("refusals").toString()));
            return 0;
        }

        private static long refused(JsonNode byReason) {
            long all = 0;
            for (JsonNode count : byReason) {
                all += count.asLong();
            }
            return all;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "A table's lines and versions.")
    static final class Show extends Call {
        @Parameters(paramLabel = "TABLE")
        private int table;

        @Override
        Integer run(PrintWriter out, PrintWriter err) throws IOException {
            for (JsonNode t : tables()) {
                if (t.path("table").asInt() == table) {
                    show(t, out);
                    return 0;
                }
            }
            err.println("no table " + table);
            err.flush();
            return 1;
        }

        private void show(JsonNode t, PrintWriter out) {
            if (asJson()) {
                out.println(t.toPrettyString());
                return;
            }
            out.println(
                    "table "
                            + table
                            + ", version "
                            + t.path("version")
                            + ", held "
                            + t.path("held").asText());
            t.path("lines")
                    .properties()
                    .forEach(
                            line ->
                                    out.printf(
                                            Locale.ROOT,
                                            "  %-30s %10.4f%n",
                                            line.getKey(),
                                            line.getValue().asDouble()));
            out.printf(
                    "%8s %-10s %-24s %6s %7s  %s%n",
                    "version", "cause", "at", "lines", "changed", "digest");
            t.path("versions")
                    .forEach(
                            v ->
                                    out.printf(
                                            "%8d %-10s %-24s %6d %7d  %s%n",
                                            v.path("number").asLong(),
                                            v.path("cause").asText(),
                                            Instant.ofEpochMilli(v.path("atMillis").asLong()),
                                            v.path("lines").asInt(),
                                            v.path("changed").asInt(),
                                            v.path("digest").asText()));
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "What changes from one kept version to another.",
            footer = {"", "Example: rosespread table diff 1 41 42"})
    static final class Diff extends Call {
        @Parameters(paramLabel = "TABLE", index = "0")
        private int table;

        @Parameters(paramLabel = "FROM", index = "1")
        private long from;

        @Parameters(paramLabel = "TO", index = "2")
        private long to;

        @Override
        Integer run(PrintWriter out, PrintWriter err) throws IOException {
            FleetResponse reply =
                    ask("GET", "/v1/tables/" + table + "/diff?from=" + from + "&to=" + to);
            JsonNode told = reply.body();
            if (!reply.isOk()) {
                err.println(reply.detail());
                err.flush();
                return 1;
            }
            if (asJson()) {
                out.println(told.toPrettyString());
                return 0;
            }
            out.println(
                    "table "
                            + table
                            + ", version "
                            + from
                            + " to "
                            + to
                            + ", "
                            + told.path("lines").size()
                            + " lines change");
            told.path("lines")
                    .forEach(
                            line ->
                                    out.printf(
                                            Locale.ROOT,
                                            "%s %-30s %10s %10s%n",
                                            sign(line),
                                            line.path("node").asText(),
                                            weight(line.path("before")),
                                            weight(line.path("after"))));
            return 0;
        }

        private static String sign(JsonNode line) {
            return line.path("before").asDouble() == 0
                    ? "+"
                    : line.path("after").asDouble() == 0 ? "-" : "~";
        }

        private static String weight(JsonNode weight) {
            return weight.asDouble() == 0
                    ? "none"
                    : String.format(Locale.ROOT, "%.4f", weight.asDouble());
        }
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = "Commits a kept version's lines as the newest one and holds the table.",
            footer = {"", "Example: rosespread table rollback 1 42"})
    static final class Rollback extends Call {
        @Parameters(paramLabel = "TABLE", index = "0")
        private int table;

        @Parameters(paramLabel = "VERSION", index = "1")
        private long version;

        @Override
        Integer run(PrintWriter out, PrintWriter err) throws IOException {
            return act("/v1/tables/" + table + "/rollback?version=" + version, out, err);
        }
    }

    @Command(
            name = "pin",
            mixinStandardHelpOptions = true,
            description = "Holds a table at what is out now.")
    static final class Pin extends Call {
        @Parameters(paramLabel = "TABLE")
        private int table;

        @Override
        Integer run(PrintWriter out, PrintWriter err) throws IOException {
            return act("/v1/tables/" + table + "/pin", out, err);
        }
    }

    @Command(
            name = "release",
            mixinStandardHelpOptions = true,
            description = "Lets a held table follow the module again, step by step.")
    static final class Release extends Call {
        @Parameters(paramLabel = "TABLE")
        private int table;

        @Override
        Integer run(PrintWriter out, PrintWriter err) throws IOException {
            return act("/v1/tables/" + table + "/release", out, err);
        }
    }
}
