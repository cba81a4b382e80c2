package rosespread.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rosespread.fleet.EmptyNodeCheck;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetDifferences;
import rosespread.fleet.FleetResponse;
import rosespread.fleet.JsonDiff;
import rosespread.fleet.StagedSettingsRollout;

/** Tends several conductors with one call. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description = "Shows several conductors, drains nodes and applies settings across them.",
        subcommands = {
            FleetCommand.Status.class,
            FleetCommand.Nodes.class,
            FleetCommand.Drain.class,
            FleetCommand.Undrain.class,
            FleetCommand.Settings.class,
            FleetCommand.Log.class
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done at all conductors",
            "1:done at none",
            "2:bad input",
            "4:done at some; the same command can be repeated"
        },
        footer = {
            "",
            "Example: rosespread fleet drain node-3 --fleet 127.0.0.1:7401,127.0.0.1:7411"
                    + " --wait 10"
        })
final class FleetCommand implements Callable<Integer> {
    private static final int SOME = 4;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** What all have in common. */
    abstract static class Call implements Callable<Integer> {
        private static final double SECOND = 1e9;

        @Option(
                names = "--fleet",
                split = ",",
                converter = AddressConverter.class,
                paramLabel = "ADDRESS",
                required = true,
                description = "The conductors' control addresses, by commas.")
        private List<InetSocketAddress> addresses;

        @Option(
                names = "--as",
                defaultValue = "${sys:user.name}",
                paramLabel = "NAME",
                description = "Who acts, for the audit log (${DEFAULT-VALUE}).")
        private String operator;

        @Option(
                names = "--timeout",
                defaultValue = "3",
                paramLabel = "SECONDS",
                description = "How long one call may take (${DEFAULT-VALUE}).")
        private double seconds;

        @Option(names = "--json", description = "Prints answers as JSON.")
        private boolean asJson;

        @Spec private CommandSpec spec;

        abstract Integer run(Fleet fleet, PrintWriter out, PrintWriter err)
                throws IOException, InterruptedException;

        @Override
        public Integer call() throws Exception {
            if (!(seconds > 0 && seconds <= 600)) {
                throw new ParameterException(
                        spec.commandLine(), "--timeout is " + seconds + "; allowed: over 0 to 600");
            }
            try (Fleet fleet = new Fleet(addresses, operator, (long) (seconds * SECOND))) {
                Integer code = run(fleet, spec.commandLine().getOut(), spec.commandLine().getErr());
                spec.commandLine().getOut().flush();
                spec.commandLine().getErr().flush();
                return code;
            }
        }

        boolean asJson() {
            return asJson;
        }

        /** Every conductor's answer by its address. */
        static String json(List<FleetResponse> replies) {
            ObjectNode all = new ObjectMapper().createObjectNode();
            replies.forEach(
                    reply -> {
                        ObjectNode each =
                                all.putObject(reply.address()).put("status", reply.status());
                        if (reply.status() == 0) {
                            each.put("detail", reply.detail())
                                    .put("mayHaveRun", reply.mayHaveRun());
                        } else {
                            each.set("answer", reply.body());
                        }
                    });
            return all.toPrettyString();
        }

        static Integer code(List<FleetResponse> replies) {
            long ok = replies.stream().filter(FleetResponse::isOk).count();
            return ok == replies.size() ? 0 : ok == 0 ? 1 : SOME;
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "One line a conductor, and what differs among them.")
    static final class Status extends Call {
        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err) {
            List<FleetResponse> replies = fleet.ask("GET", "/v1/status", "");
            if (asJson()) {
                out.println(json(replies));
                return code(replies);
            }
            out.printf(
                    "%-22s %-10s %-22s %9s %-26s %8s %8s %-8s  %s%n",
                    "conductor",
                    "name",
                    "phase",
                    "proxies",
                    "nodes",
                    "waiting",
                    "settings",
                    "held",
                    "trouble");
            for (FleetResponse reply : replies) {
                JsonNode is = reply.body();
                if (!reply.isOk()) {
                    out.printf("%-22s %-10s %s%n", reply.address(), "-", reply.detail());
                    continue;
                }
                List<String> nodes = new ArrayList<>();
                is.path("nodes")
                        .properties()
                        .forEach(
                                count ->
                                        nodes.add(
                                                count.getValue()
                                                        + " "
                                                        + count.getKey().toLowerCase(Locale.ROOT)));
                int held = 0;
                for (JsonNode table : is.path("tables")) {
                    held += table.path("held").asText().equals("NONE") ? 0 : 1;
                }
                List<String> trouble = new ArrayList<>();
                for (String field :
                        List.of(
                                "listTrouble",
                                "settingsTrouble",
                                "storageTrouble",
                                "auditTrouble")) {
                    if (!is.path(field).asText().isEmpty()) {
                        trouble.add(is.path(field).asText());
                    }
                }
                out.printf(
                        "%-22s %-10s %-22s %4d/%-4d %-26s %8d %8s %-8s  %s%n",
                        reply.address(),
                        is.path("name").asText(),
                        is.path("phase").asText(),
                        is.path("proxiesBound").asInt(),
                        is.path("proxies").asInt(),
                        String.join(", ", nodes),
                        is.path("linesWaiting").asLong(),
                        is.has("settingsRevision") ? is.path("settingsRevision").asText() : "none",
                        held + "/" + is.path("tables").size(),
                        String.join("; ", trouble));
            }
            FleetDifferences.between(replies).forEach(difference -> out.println("! " + difference));
            return code(replies);
        }
    }

    @Command(
            name = "nodes",
            mixinStandardHelpOptions = true,
            description =
                    "Nodes as the conductors list them; one line a node, with where they differ.")
    static final class Nodes extends Call {
        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err) {
            List<FleetResponse> replies = fleet.ask("GET", "/v1/nodes", "");
            if (asJson()) {
                out.println(json(replies));
                return code(replies);
            }
            Map<String, Map<String, List<String>>> byNode = new TreeMap<>();
            for (FleetResponse reply : replies) {
                if (!reply.isOk()) {
                    err.println(reply.address() + ": " + reply.detail());
                }
                reply.body()
                        .forEach(
                                node -> {
                                    String by = node.path("drainedBy").asText();
                                    String text =
                                            String.format(
                                                    "%-22s %-10s %-10s %s%s",
                                                    node.path("address").asText(),
                                                    node.path("zone").asText(),
                                                    node.path("kind").asText(),
                                                    node.path("state").asText(),
                                                    by.isEmpty() ? "" : ", drained by " + by);
                                    byNode.computeIfAbsent(
                                                    node.path("name").asText(),
                                                    n -> new TreeMap<>())
                                            .computeIfAbsent(text, t -> new ArrayList<>())
                                            .add(reply.address());
                                });
            }
            byNode.forEach(
                    (name, texts) ->
                            texts.forEach(
                                    (text, at) ->
                                            out.printf(
                                                    "%-20s %s%s%n",
                                                    name,
                                                    text,
                                                    texts.size() > 1
                                                                    || at.size()
                                                                            < replies.stream()
                                                                                    .filter(
                                                                                            FleetResponse
                                                                                                    ::isOk)
                                                                                    .count()
                                                            ? "   (at "
                                                                    + String.join(", ", at)
                                                                    + ")"
                                                            : "")));
            return code(replies);
        }
    }

    /** A call on one node at all conductors. */
    abstract static class NodeCall extends Call {
        private static final long QUIET_MILLIS = 2_000;
        private static final long LOOK_MILLIS = 200;

        @Parameters(
                paramLabel = "NODE",
                description = "A name, or name@host:port where several have it.")
        private String node;

        Integer act(Fleet fleet, String verb, String query, PrintWriter out, PrintWriter err) {
            String path =
                    "/v1/nodes/"
                            + URLEncoder.encode(node, StandardCharsets.UTF_8)
                            + "/"
                            + verb
                            + query;
            // One id at all conductors: what one of them told another of is not done twice.
            List<FleetResponse> replies =
                    fleet.ask("POST", path, "", "idempotency-key", UUID.randomUUID().toString());
            if (asJson()) {
                out.println(json(replies));
            } else {
                replies.forEach(
                        reply ->
                                (reply.isOk() ? out : err)
                                        .println(
                                                reply.address()
                                                        + ": "
                                                        + (reply.isOk()
                                                                ? "done, revision "
                                                                        + reply.body()
                                                                                .path("revision")
                                                                : reply.status() == 0
                                                                                && reply
                                                                                        .mayHaveRun()
                                                                        ? "may be done: "
                                                                                + reply.detail()
                                                                        : reply.detail())));
            }
            return code(replies);
        }

        Integer empty(Fleet fleet, double seconds, PrintWriter out, PrintWriter err)
                throws InterruptedException {
            long begun = System.nanoTime();
            long until = begun + (long) (seconds * 1e9);
            List<String> not;
            do {
                not =
                        EmptyNodeCheck.blockers(
                                node, fleet.ask("GET", "/v1/nodes", ""), QUIET_MILLIS);
                if (not.isEmpty()) {
                    out.printf(
                            "%s is empty after %.1f s%n", node, (System.nanoTime() - begun) / 1e9);
                    return 0;
                }
                Thread.sleep(LOOK_MILLIS);
            } while (until - System.nanoTime() > 0);
            not.forEach(reason -> err.println("not known to be empty: " + reason));
            return SOME;
        }
    }

    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description =
                    "Takes a node out of all tables until it is undrained or gone from the list.",
            footer = {
                "",
                "Example: rosespread fleet drain node-3 --fleet 127.0.0.1:7401 --wait 10"
            })
    static final class Drain extends NodeCall {
        @Option(names = "--force", description = "Passes over the guard against draining too much.")
        private boolean force;

        @Option(
                names = "--wait",
                paramLabel = "SECONDS",
                description = "Waits until no conductor hears of a try there any more.")
        private Double wait;

        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err) throws InterruptedException {
            Integer code = act(fleet, "drain", force ? "?force=true" : "", out, err);
            return code != 0 || wait == null ? code : empty(fleet, wait, out, err);
        }
    }

    @Command(name = "undrain", mixinStandardHelpOptions = true, description = "Ends a drain.")
    static final class Undrain extends NodeCall {
        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err) {
            return act(fleet, "undrain", "", out, err);
        }
    }

    @Command(
            name = "settings",
            mixinStandardHelpOptions = true,
            synopsisSubcommandLabel = "SUBCOMMAND",
            description = "Shows, compares and applies settings.",
            subcommands = {ShowSettings.class, DiffSettings.class, ApplySettings.class})
    static final class Settings implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().usage(spec.commandLine().getErr());
            return 2;
        }
    }

    private static String input() throws IOException {
        return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "The settings of each conductor.")
    static final class ShowSettings extends Call {
        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err) {
            List<FleetResponse> replies = fleet.ask("GET", "/v1/settings", "");
            out.println(json(replies));
            return code(replies);
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "What standard input would change at each conductor, field by field.")
    static final class DiffSettings extends Call {
        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err) throws IOException {
            JsonNode wanted;
            try {
                wanted = new ObjectMapper().readTree(input());
            } catch (JsonProcessingException e) {
                err.println("standard input is not JSON: " + e.getOriginalMessage());
                return 2;
            }
            List<FleetResponse> replies = fleet.ask("GET", "/v1/settings", "");
            for (FleetResponse reply : replies) {
                // Before any settings each field is a new one.
                JsonNode is = reply.isOk() ? reply.body() : MissingNode.getInstance();
                if (!reply.isOk() && reply.status() != 404) {
                    err.println(reply.address() + ": " + reply.detail());
                    continue;
                }
                List<String> changes = JsonDiff.between(is, wanted);
                out.println(reply.address() + ": " + changes.size() + " fields change");
                changes.forEach(change -> out.println("  " + change));
            }
            return code(replies);
        }
    }

    @Command(
            name = "apply",
            mixinStandardHelpOptions = true,
            description =
                    "Applies standard input, one conductor after the other, and stops where one fails.",
            footer = {
                "",
                "Example: rosespread fleet settings apply --fleet 127.0.0.1:7401 < fleet.json"
            })
    static final class ApplySettings extends Call {
        @Option(names = "--dry-run", description = "Only checks them at every conductor.")
        private boolean dry;

        @Option(
                names = "--patience",
                defaultValue = "15",
                paramLabel = "SECONDS",
                description =
                        "How long a conductor may take to have its proxies back (${DEFAULT-VALUE}).")
        private double patience;

        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err)
                throws IOException, InterruptedException {
            String text = input();
            if (dry) {
                List<FleetResponse> replies = fleet.ask("PUT", "/v1/settings?dry-run=true", text);
                out.println(json(replies));
                return code(replies);
            }
            int done =
                    new StagedSettingsRollout(
                                    fleet,
                                    (long) (patience * 1e9),
                                    line -> {
                                        out.println(line);
                                        out.flush();
                                    })
                            .run(text, UUID.randomUUID().toString());
            return done == fleet.controllers().size() ? 0 : done == 0 ? 1 : SOME;
        }
    }

    @Command(
            name = "log",
            mixinStandardHelpOptions = true,
            description = "Acts at all conductors, by time.")
    static final class Log extends Call {
        @Override
        Integer run(Fleet fleet, PrintWriter out, PrintWriter err) {
            List<FleetResponse> replies = fleet.ask("GET", "/v1/acts", "");
            if (asJson()) {
                out.println(json(replies));
                return code(replies);
            }
            List<String> lines = new ArrayList<>();
            for (FleetResponse reply : replies) {
                if (!reply.isOk()) {
                    err.println(reply.address() + ": " + reply.detail());
                }
                reply.body()
                        .forEach(
                                line ->
                                        lines.add(
                                                String.format(
                                                        "%s  %-22s %-12s %-50s %s",
                                                        Instant.ofEpochMilli(
                                                                line.path("atMillis").asLong()),
                                                        reply.address(),
                                                        line.path("act").path("who").asText(),
                                                        line.path("act").path("what").asText(),
                                                        line.path("act")
                                                                .path("outcome")
                                                                .asText())));
            }
            lines.stream().sorted().forEach(out::println);
            return code(replies);
        }
    }
}
