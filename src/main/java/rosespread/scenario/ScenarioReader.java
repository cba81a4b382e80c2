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

    static Scenario named(String nameOrPath) throws IOException, ScenarioException {
        if (nameOrPath.matches("[a-z0-9-]+")) {
            try (InputStream in =
                    ScenarioReader.class.getResourceAsStream(
                            "/scenarios/" + nameOrPath + ".yaml")) {
                if (in != null) {
                    return read(nameOrPath, new String(in.readAllBytes(), StandardCharsets.UTF_8));
                }
            }
        }
        Path path = Path.of(nameOrPath);
        if (!Files.isRegularFile(path)) {
            throw new ScenarioException(
                    nameOrPath + ": neither a file nor a scenario that ships with the program");
        }
        return read(nameOrPath, Files.readString(path));
    }

    static Scenario read(String file, String text) throws ScenarioException {
        Map<String, Integer> lines = new TreeMap<>();
        try {
            JsonNode tree = new YAMLMapper().readTree(text);
            lines(text, lines);
            JsonFields all = new JsonFields(tree);
            Scenario scenario = scenario(all);
            all.throwIfInvalid();
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
                    e.invalidFields().stream()
                            .map(
                                    fault ->
                                            file
                                                    + ":"
                                                    + line(lines, fault.field())
                                                    + ": field "
                                                    + fault.field()
                                                    + " is "
                                                    + fault.found()
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
        String name = all.string("name", null, "[a-z0-9-]{1,64}", "small letters, digits and -");
        long lasts = Math.round(all.doubleValue("seconds", Double.NaN, 1, 24 * HOUR) * SECOND);
        long warmUp = Math.round(all.doubleValue("warmUpSeconds", 15, 0.1, HOUR) * SECOND);
        int conductors = (int) all.longValue("conductors", 1, 1, 64);
        List<String> zones = all.strings("zones", 1, 64, null);
        Map<String, SiteDefinition.Kind> kinds = new LinkedHashMap<>();
        JsonFields kindFields = all.object("kinds");
        for (String kind : kindFields.names()) {
            JsonFields one = kindFields.object(kind);
            kinds.put(
                    kind,
                    new SiteDefinition.Kind(
                            (int) one.longValue("cores", -1, 1, 1024),
                            one.doubleValue("speed", 1, 0.01, 100),
                            (int) one.longValue("nodes", -1, 1, 10_000)));
            one.rejectUnknownFields();
        }
        if (kinds.isEmpty()) {
            all.reject("kinds", "at least one kind");
        }
        List<SiteDefinition.Method> methods = methods(all, List.copyOf(kinds.keySet()));
        JsonFields cold = all.object("cold");
        SiteDefinition.Cold warming =
                new SiteDefinition.Cold(
                        Math.round(cold.doubleValue("seconds", 16, 0, HOUR) * SECOND),
                        cold.doubleValue("share", 0.16, 0.01, 1),
                        cold.millisAsNanos("windowMs", 1500, 1, MINUTE),
                        cold.doubleValue("multiple", 4, 1, 100));
        cold.rejectUnknownFields();
        JsonFields channelFields = all.object("channel");
        Scenario.Channel channel = channel(channelFields);
        JsonFields reports = all.object("reports");
        SiteDefinition site =
                new SiteDefinition(
                        zones,
                        kinds,
                        methods,
                        proxies(all.object("proxies"), channel.linesPerSecond()),
                        warming,
                        all.doubleValue("queuePerCore", 8, 0, 1000),
                        reports.millisAsNanos("periodMs", 1000, 20, MINUTE),
                        reports.millisAsNanos("lateMs", 500, 0, MINUTE));
        reports.rejectUnknownFields();
        JsonFields clients = all.object("clients");
        Scenario.Clients callers =
                new Scenario.Clients(
                        (int) clients.longValue("retries", 2, 0, 10),
                        clients.millisAsNanos("retryWaitMs", 100, 0, MINUTE),
                        clients.doubleValue("patience", 1, 0.05, 1));
        clients.rejectUnknownFields();
        JsonFields rules = all.object("rules");
        Scenario.Rules bounds =
                new Scenario.Rules(
                        rules.millisAsNanos("lackMs", 3000, 10, MINUTE),
                        rules.millisAsNanos("drainGraceMs", 2500, 100, MINUTE));
        rules.rejectUnknownFields();
        JsonFields list = all.object("list");
        long late = list.millisAsNanos("lateMs", 800, 0, MINUTE);
        list.rejectUnknownFields();
        return new Scenario(
                name,
                lasts,
                warmUp,
                conductors,
                site,
                all.doubleValue("rate", Double.NaN, 0.1, 100_000),
                callers,
                bounds,
                channel,
                late,
                all.booleanValue("probes", true),
                troubles(all, zones, methods, conductors));
    }

    private static Scenario.Channel channel(JsonFields channel) {
        Scenario.Channel read =
                new Scenario.Channel(
                        channel.doubleValue("linesPerSecond", Double.NaN, 1, 1e9),
                        channel.doubleValue("linesPerMessage", 8, 0, 1000),
                        channel.doubleValue("queueLimit", Double.NaN, 1, 1e9),
                        (int) channel.longValue("messageLimit", 30, 0, 100_000),
                        channel.millisAsNanos("messageSpanMs", 10_000, 1, MINUTE),
                        channel.string("levels", "rate", "share|rate|none", "share, rate or none"),
                        channel.doubleValue("orderPrice", 0.05, 0, 10));
        channel.rejectUnknownFields();
        return read;
    }

    private static SiteDefinition.Proxies proxies(JsonFields proxies, double linesPerSecond) {
        String pick =
                proxies.string(
                        "pick",
                        "round",
                        "round|random|best of two",
                        "round, random or best of two");
        SiteDefinition.Proxies read =
                new SiteDefinition.Proxies(
                        (int) proxies.longValue("count", -1, 1, 10_000),
                        pick.isEmpty()
                                ? SiteDefinition.Pick.ROUND
                                : SiteDefinition.Pick.valueOf(
                                        pick.toUpperCase(Locale.ROOT).replace(' ', '_')),
                        (int) proxies.longValue("avoidAfterFailures", 8, 0, 1000),
                        Math.round(proxies.doubleValue("stallPerLineUs", 30, 0, 1e6) * 1000),
                        proxies.millisAsNanos("wayMs", 60, 0, MINUTE),
                        proxies.millisAsNanos("longestWayMs", 300, 0, MINUTE),
                        (int) proxies.longValue("standing", 5, 1, 10_000),
                        proxies.millisAsNanos("redialLeastMs", 300, 1, MINUTE),
                        proxies.millisAsNanos("redialMostMs", 1200, 1, MINUTE),
                        linesPerSecond);
        if (read.redialMost() < read.redialLeast()) {
            proxies.reject("redialMostMs", "at least redialLeastMs");
        }
        proxies.rejectUnknownFields();
        return read;
    }

    private static List<SiteDefinition.Method> methods(JsonFields all, List<String> kinds) {
        List<SiteDefinition.Method> methods = new ArrayList<>();
        for (JsonFields one : all.objects("methods", 1, 32)) {
            String effect =
                    one.string(
                            "effect",
                            null,
                            "idempotent|tokened|non-idempotent",
                            "idempotent, tokened or non-idempotent");
            methods.add(
                    new SiteDefinition.Method(
                            one.string(
                                    "name",
                                    null,
                                    "[A-Za-z0-9_-]{1,64}",
                                    "letters, digits, _ and -"),
                            one.doubleValue("share", Double.NaN, 0, 1),
                            one.millisAsNanos("workMs", Double.NaN, 0.01, MINUTE),
                            one.millisAsNanos("softDeadlineMs", Double.NaN, 1, MINUTE),
                            one.millisAsNanos("deadlineMs", Double.NaN, 1, MINUTE),
                            one.doubleValue("criticality", 1, 0, 1e6),
                            one.doubleValue("lateShare", 0.15, 0, 1),
                            effect.isEmpty()
                                    ? SiteDefinition.Effect.IDEMPOTENT
                                    : SiteDefinition.Effect.valueOf(
                                            effect.toUpperCase(Locale.ROOT).replace('-', '_')),
                            one.millisAsNanos("windowMs", 2500, 0, MINUTE),
                            one.strings("onlyKinds", 0, 64, kinds)));
            one.rejectUnknownFields();
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
                    one.string("kind", null, Fault.Kind.all(), Fault.Kind.all().replace("|", ", "));
            JsonFields what = one.object("what");
            Fault trouble =
                    new Fault(
                            Math.round(one.doubleValue("at", Double.NaN, 0, 24 * HOUR) * SECOND),
                            Math.round(one.doubleValue("for", Double.NaN, 0, 24 * HOUR) * SECOND),
                            kind.isEmpty()
                                    ? Fault.Kind.HANG
                                    : Fault.Kind.valueOf(
                                            kind.toUpperCase(Locale.ROOT).replace(' ', '_')),
                            what.doubleValue("share", 0.1, 0, 1),
                            what.string(
                                    "zone",
                                    zones.isEmpty() ? "" : zones.get(0),
                                    String.join("|", zones),
                                    "one of " + String.join(", ", zones)),
                            what.doubleValue("factor", 4, 0, 1000),
                            what.millisAsNanos("ms", 2000, 0, MINUTE),
                            what.string(
                                    "method",
                                    methods.isEmpty() ? "" : methods.get(0).name(),
                                    String.join(
                                            "|",
                                            methods.stream()
                                                    .map(SiteDefinition.Method::name)
                                                    .toList()),
                                    "a method's name"),
                            (int) what.longValue("which", 0, 0, conductors - 1));
            what.rejectUnknownFields();
            one.rejectUnknownFields();
            troubles.add(trouble);
        }
        return troubles;
    }
}
