package rosespread.scenario;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import rosespread.settings.JsonFields;
import rosespread.settings.SettingsException;
import rosespread.testbed.SiteDefinition;

/** Reads scenarios: those in the jar by name, others by path. */
final class ScenarioReader {
    private static final double MINUTE = 60_000;
    private static final double HOUR = 3600;
    private static final double SECOND = 1e9;

    private ScenarioReader() {}

    static Scenario load(String nameOrPath) throws IOException, ScenarioException {
        if (nameOrPath.matches("[a-z0-9-]+")) {
            try (InputStream in =
                    ScenarioReader.class.getResourceAsStream(
                            "/scenarios/" + nameOrPath + ".yaml")) {
                if (in != null) {
                    return parse(nameOrPath, new String(in.readAllBytes(), StandardCharsets.UTF_8));
                }
            }
        }
        Path path = Path.of(nameOrPath);
        if (!Files.isRegularFile(path)) {
            throw new ScenarioException(
                    nameOrPath + ": neither a file nor a scenario that ships with the program");
        }
        return parse(nameOrPath, Files.readString(path));
    }

    static Scenario parse(String file, String text) throws ScenarioException {
        Map<String, Integer> lines = new TreeMap<>();
        try {
            JsonNode tree = new YAMLMapper().readTree(text);
            lines(text, lines);
            JsonFields all = new JsonFields(tree);
            Scenario scenario = scenario(all);
            all.end();
            return scenario;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new ScenarioException(
                    file
                            + ":"
                            + line
                            + ": not YAML: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new ScenarioException(file + ": " + e.getMessage());
        } catch (SettingsException e) {
            throw new ScenarioException(
                    e.faults().stream()
                            .map(
                                    fault ->
                                            file
                                                    + ":"
                                                    + line(lines, fault.field())
                                                    + ": field "
                                                    + fault.field()
                                                    + " is "
                                                    + fault.value()
                                                    + "; allowed: "
                                                    + fault.allowed())
                            .collect(Collectors.joining("\n")));
        }
    }

    /** The line of a field, or of the nearest thing round it that is there. */
    private static int line(Map<String, Integer> lines, String field) {
        String at = field;
        while (!at.isEmpty() && !lines.containsKey(at)) {
            at = at.substring(0, Math.max(0, Math.max(at.lastIndexOf('.'), at.lastIndexOf('['))));
        }
        return lines.getOrDefault(at, 1);
    }

    private static void lines(String text, Map<String, Integer> lines) throws IOException {
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                lines.putIfAbsent(
                        path(parser.getParsingContext()),
                        parser.currentTokenLocation().getLineNr());
            }
        }
    }

    private static String path(JsonStreamContext at) {
        if (at.getParent() == null) {
            return "";
        }
        String above = path(at.getParent());
        if (at.inArray()) {
            return above + "[" + Math.max(0, at.getCurrentIndex()) + "]";
        }
        String name = at.getCurrentName();
        return name == null ? above : above.isEmpty() ? name : above + "." + name;
    }

    private static Scenario scenario(JsonFields all) {
        String name = all.text("name", null, "[a-z0-9-]{1,64}", "small letters, digits and -");
        long lasts = Math.round(all.number("seconds", Double.NaN, 1, 24 * HOUR) * SECOND);
        long warmUp = Math.round(all.number("warmUpSeconds", 15, 0.1, HOUR) * SECOND);
        int conductors = (int) all.whole("conductors", 1, 1, 64);
        List<String> zones = all.texts("zones", 1, 64, null);
        Map<String, SiteDefinition.MachineType> kinds = new LinkedHashMap<>();
        JsonFields kindFields = all.object("kinds");
        for (String kind : kindFields.names()) {
            JsonFields one = kindFields.object(kind);
            kinds.put(
                    kind,
                    new SiteDefinition.MachineType(
                            (int) one.whole("cores", -1, 1, 1024),
                            one.number("speed", 1, 0.01, 100),
                            (int) one.whole("nodes", -1, 1, 10_000)));
            one.closed();
        }
        if (kinds.isEmpty()) {
            all.fault("kinds", "at least one kind");
        }
        List<SiteDefinition.Method> methods = methods(all, List.copyOf(kinds.keySet()));
        JsonFields cold = all.object("cold");
        SiteDefinition.WarmUp warming =
                new SiteDefinition.WarmUp(
                        Math.round(cold.number("seconds", 16, 0, HOUR) * SECOND),
                        cold.number("share", 0.16, 0.01, 1),
                        cold.millis("windowMs", 1500, 1, MINUTE),
                        cold.number("multiple", 4, 1, 100));
        cold.closed();
        JsonFields channelFields = all.object("channel");
        Scenario.Channel channel = channel(channelFields);
        JsonFields reports = all.object("reports");
        SiteDefinition site =
                new SiteDefinition(
                        zones,
                        kinds,
                        methods,
                        proxies(all.object("proxies"), channel.entriesPerSecond()),
                        warming,
                        all.number("queuePerCore", 8, 0, 1000),
                        reports.millis("periodMs", 1000, 20, MINUTE),
                        reports.millis("lateMs", 500, 0, MINUTE));
        reports.closed();
        JsonFields clients = all.object("clients");
        Scenario.Clients callers =
                new Scenario.Clients(
                        (int) clients.whole("retries", 2, 0, 10),
                        clients.millis("retryWaitMs", 100, 0, MINUTE),
                        clients.number("patience", 1, 0.05, 1));
        clients.closed();
        JsonFields rules = all.object("rules");
        Scenario.Limits bounds =
                new Scenario.Limits(
                        rules.millis("lackMs", 3000, 10, MINUTE),
                        rules.millis("drainGraceMs", 2500, 100, MINUTE));
        rules.closed();
        JsonFields list = all.object("list");
        long late = list.millis("lateMs", 800, 0, MINUTE);
        list.closed();
        return new Scenario(
                name,
                lasts,
                warmUp,
                conductors,
                site,
                all.number("rate", Double.NaN, 0.1, 100_000),
                callers,
                bounds,
                channel,
                late,
                all.flag("probes", true),
                troubles(all, zones, methods, conductors));
    }

    private static Scenario.Channel channel(JsonFields channel) {
        Scenario.Channel read =
                new Scenario.Channel(
                        channel.number("linesPerSecond", Double.NaN, 1, 1e9),
                        channel.number("linesPerMessage", 8, 0, 1000),
                        channel.number("queueLimit", Double.NaN, 1, 1e9),
                        (int) channel.whole("messageLimit", 30, 0, 100_000),
                        channel.millis("messageSpanMs", 10_000, 1, MINUTE),
                        channel.text("levels", "rate", "share|rate|none", "share, rate or none"),
                        channel.number("orderPrice", 0.05, 0, 10));
        channel.closed();
        return read;
    }

    private static SiteDefinition.Proxies proxies(JsonFields proxies, double linesPerSecond) {
        String pick =
                proxies.text(
                        "pick",
                        "round",
                        "round|random|best of two",
                        "round, random or best of two");
        SiteDefinition.Proxies read =
                new SiteDefinition.Proxies(
                        (int) proxies.whole("count", -1, 1, 10_000),
                        pick.isEmpty()
                                ? SiteDefinition.Pick.ROUND
                                : SiteDefinition.Pick.valueOf(
                                        pick.toUpperCase(Locale.ROOT).replace(' ', '_')),
                        (int) proxies.whole("avoidAfterFailures", 8, 0, 1000),
                        Math.round(proxies.number("stallPerLineUs", 30, 0, 1e6) * 1000),
                        proxies.millis("wayMs", 60, 0, MINUTE),
                        proxies.millis("longestWayMs", 300, 0, MINUTE),
                        (int) proxies.whole("standing", 5, 1, 10_000),
                        proxies.millis("redialLeastMs", 300, 1, MINUTE),
                        proxies.millis("redialMostMs", 1200, 1, MINUTE),
                        linesPerSecond);
        if (read.maxReconnectNanos() < read.minReconnectNanos()) {
            proxies.fault("redialMostMs", "at least redialLeastMs");
        }
        proxies.closed();
        return read;
    }

    private static List<SiteDefinition.Method> methods(JsonFields all, List<String> kinds) {
        List<SiteDefinition.Method> methods = new ArrayList<>();
        for (JsonFields one : all.objects("methods", 1, 32)) {
            String effect =
                    one.text(
                            "effect",
                            null,
                            "idempotent|tokened|non-idempotent",
                            "idempotent, tokened or non-idempotent");
            methods.add(
                    new SiteDefinition.Method(
                            one.text(
                                    "name",
                                    null,
                                    "[A-Za-z0-9_-]{1,64}",
                                    "letters, digits, _ and -"),
                            one.number("share", Double.NaN, 0, 1),
                            one.millis("workMs", Double.NaN, 0.01, MINUTE),
                            one.millis("softDeadlineMs", Double.NaN, 1, MINUTE),
                            one.millis("deadlineMs", Double.NaN, 1, MINUTE),
                            one.number("criticality", 1, 0, 1e6),
                            one.number("lateShare", 0.15, 0, 1),
                            effect.isEmpty()
                                    ? SiteDefinition.Effect.IDEMPOTENT
                                    : SiteDefinition.Effect.valueOf(
                                            effect.toUpperCase(Locale.ROOT).replace('-', '_')),
                            one.millis("windowMs", 2500, 0, MINUTE),
                            one.texts("onlyKinds", 0, 64, kinds)));
            one.closed();
        }
        return methods;
    }

    private static List<Fault> troubles(
            JsonFields all,
            List<String> zones,
            List<SiteDefinition.Method> methods,
            int conductors) {
        List<Fault> troubles = new ArrayList<>();
        for (JsonFields one : all.objects("troubles", 0, 1000)) {
            String kind =
                    one.text(
                            "kind",
                            null,
                            Fault.Kind.yamlNames(),
                            Fault.Kind.yamlNames().replace("|", ", "));
            JsonFields what = one.object("what");
            Fault trouble =
                    new Fault(
                            Math.round(one.number("at", Double.NaN, 0, 24 * HOUR) * SECOND),
                            Math.round(one.number("for", Double.NaN, 0, 24 * HOUR) * SECOND),
                            kind.isEmpty()
                                    ? Fault.Kind.HANG
                                    : Fault.Kind.valueOf(
                                            kind.toUpperCase(Locale.ROOT).replace(' ', '_')),
                            what.number("share", 0.1, 0, 1),
                            what.text(
                                    "zone",
                                    zones.isEmpty() ? "" : zones.get(0),
                                    String.join("|", zones),
                                    "one of " + String.join(", ", zones)),
                            what.number("factor", 4, 0, 1000),
                            what.millis("ms", 2000, 0, MINUTE),
                            what.text(
                                    "method",
                                    methods.isEmpty() ? "" : methods.get(0).name(),
                                    String.join(
                                            "|",
                                            methods.stream()
                                                    .map(SiteDefinition.Method::name)
                                                    .toList()),
                                    "a method's name"),
                            (int) what.whole("which", 0, 0, conductors - 1));
            what.closed();
            one.closed();
            troubles.add(trouble);
        }
        return troubles;
    }
}
