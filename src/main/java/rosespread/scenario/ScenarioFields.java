package rosespread.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rosespread.settings.JsonFields;
import rosespread.testbed.SiteDefinition;

/**
 * Reads the fields of one scenario, with their bounds and defaults. Invalid fields are collected by
 * {@link JsonFields} in the order of reading; the scenario then holds defaults in their place and
 * must not be used.
 */
final class ScenarioFields {
    private static final double MINUTE_MILLIS = 60_000;
    private static final double HOUR_SECONDS = 3600;
    private static final double DAY_SECONDS = 24 * HOUR_SECONDS;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double REQUIRED = Double.NaN;
    private static final long REQUIRED_INT = -1;

    private final JsonFields root;

    ScenarioFields(JsonFields root) {
        this.root = root;
    }

    /** Reads all fields; called once. */
    Scenario read() {
        String name =
                root.string("name", null, "[a-z0-9-]{1,64}", "lower-case letters, digits and -");
        long durationNanos = seconds(root, "seconds", REQUIRED, 1, DAY_SECONDS);
        long warmUpNanos = seconds(root, "warmUpSeconds", 15, 0.1, HOUR_SECONDS);
        int controllerCount = intValue(root, "conductors", 1, 1, 64);
        List<String> zones = root.strings("zones", 1, 64, null);
        Map<String, SiteDefinition.MachineType> machineTypes = readMachineTypes();
        List<SiteDefinition.Method> methods = readMethods(List.copyOf(machineTypes.keySet()));
        SiteDefinition.WarmUp warmUp = readWarmUp(root.object("cold"));
        Scenario.Channel channel = readChannel(root.object("channel"));
        JsonFields reports = root.object("reports");
        SiteDefinition site =
                new SiteDefinition(
                        zones,
                        machineTypes,
                        methods,
                        readProxies(root.object("proxies"), channel.entriesPerSecond()),
                        warmUp,
                        root.doubleValue("queuePerCore", 8, 0, 1000),
                        reports.millisAsNanos("periodMs", 1000, 20, MINUTE_MILLIS),
                        reports.millisAsNanos("lateMs", 500, 0, MINUTE_MILLIS));
        reports.rejectUnknownFields();
        Scenario.Clients clients = readClients(root.object("clients"));
        Scenario.Limits limits = readLimits(root.object("rules"));
        long listDelayNanos = readListDelay(root.object("list"));
        return new Scenario(
                name,
                durationNanos,
                warmUpNanos,
                controllerCount,
                site,
                root.doubleValue("rate", REQUIRED, 0.1, 100_000),
                clients,
                limits,
                channel,
                listDelayNanos,
                root.booleanValue("probes", true),
                readFaults(zones, methods, controllerCount));
    }

    private static int intValue(JsonFields fields, String name, long absent, long min, long max) {
        return (int) fields.longValue(name, absent, min, max);
    }

    private static long seconds(
            JsonFields fields, String name, double absent, double min, double max) {
        return Math.round(fields.doubleValue(name, absent, min, max) * NANOS_PER_SECOND);
    }

    /**
     * The enum constant of a name that may have spaces or dashes; the default for the empty name
     * that stands for an invalid field.
     */
    private static <E extends Enum<E>> E enumValue(Class<E> type, String yamlName, E defaultValue) {
        if (yamlName.isEmpty()) {
            return defaultValue;
        }
        String name = yamlName.toUpperCase(Locale.ROOT).replace(' ', '_').replace('-', '_');
        return Enum.valueOf(type, name);
    }

    private Map<String, SiteDefinition.MachineType> readMachineTypes() {
        Map<String, SiteDefinition.MachineType> machineTypes = new LinkedHashMap<>();
        JsonFields typesByName = root.object("kinds");
        for (String name : typesByName.names()) {
            JsonFields type = typesByName.object(name);
            machineTypes.put(
                    name,
                    new SiteDefinition.MachineType(
                            intValue(type, "cores", REQUIRED_INT, 1, 1024),
                            type.doubleValue("speed", 1, 0.01, 100),
                            intValue(type, "nodes", REQUIRED_INT, 1, 10_000)));
            type.rejectUnknownFields();
        }
        if (machineTypes.isEmpty()) {
            root.reject("kinds", "at least one machine type");
        }
        return machineTypes;
    }

    private List<SiteDefinition.Method> readMethods(List<String> machineTypes) {
        List<SiteDefinition.Method> methods = new ArrayList<>();
        for (JsonFields method : root.objects("methods", 1, 32)) {
            methods.add(readMethod(method, machineTypes));
            method.rejectUnknownFields();
        }
        return methods;
    }

    private static SiteDefinition.Method readMethod(JsonFields method, List<String> machineTypes) {
        String effect =
                method.string(
                        "effect",
                        null,
                        "idempotent|tokened|non-idempotent",
                        "idempotent, tokened or non-idempotent");
        return new SiteDefinition.Method(
                method.string("name", null, "[A-Za-z0-9_-]{1,64}", "letters, digits, _ and -"),
                method.doubleValue("share", REQUIRED, 0, 1),
                method.millisAsNanos("workMs", REQUIRED, 0.01, MINUTE_MILLIS),
                method.millisAsNanos("softDeadlineMs", REQUIRED, 1, MINUTE_MILLIS),
                method.millisAsNanos("deadlineMs", REQUIRED, 1, MINUTE_MILLIS),
                method.doubleValue("criticality", 1, 0, 1e6),
                method.doubleValue("lateShare", 0.15, 0, 1),
                enumValue(SiteDefinition.Effect.class, effect, SiteDefinition.Effect.IDEMPOTENT),
                method.millisAsNanos("windowMs", 2500, 0, MINUTE_MILLIS),
                method.strings("onlyKinds", 0, 64, machineTypes));
    }

    private static SiteDefinition.WarmUp readWarmUp(JsonFields cold) {
        SiteDefinition.WarmUp warmUp =
                new SiteDefinition.WarmUp(
                        seconds(cold, "seconds", 16, 0, HOUR_SECONDS),
                        cold.doubleValue("share", 0.16, 0.01, 1),
                        cold.millisAsNanos("windowMs", 1500, 1, MINUTE_MILLIS),
                        cold.doubleValue("multiple", 4, 1, 100));
        cold.rejectUnknownFields();
        return warmUp;
    }

    private static Scenario.Channel readChannel(JsonFields channel) {
        Scenario.Channel read =
                new Scenario.Channel(
                        channel.doubleValue("linesPerSecond", REQUIRED, 1, 1e9),
                        channel.doubleValue("linesPerMessage", 8, 0, 1000),
                        channel.doubleValue("queueLimit", REQUIRED, 1, 1e9),
                        intValue(channel, "messageLimit", 30, 0, 100_000),
                        channel.millisAsNanos("messageSpanMs", 10_000, 1, MINUTE_MILLIS),
                        enumValue(
                                Scenario.AdmissionMode.class,
                                channel.string(
                                        "levels", "rate", "share|rate|none", "share, rate or none"),
                                Scenario.AdmissionMode.RATE),
                        channel.doubleValue("orderPrice", 0.05, 0, 10));
        channel.rejectUnknownFields();
        return read;
    }

    private static SiteDefinition.Proxies readProxies(JsonFields proxies, double entriesPerSecond) {
        String pick =
                proxies.string(
                        "pick",
                        "round",
                        "round|random|best of two",
                        "round, random or best of two");
        SiteDefinition.Proxies read =
                new SiteDefinition.Proxies(
                        intValue(proxies, "count", REQUIRED_INT, 1, 10_000),
                        enumValue(SiteDefinition.Pick.class, pick, SiteDefinition.Pick.ROUND),
                        intValue(proxies, "avoidAfterFailures", 8, 0, 1000),
                        Math.round(
                                proxies.doubleValue("stallPerLineUs", 30, 0, 1e6)
                                        * NANOS_PER_MICRO),
                        proxies.millisAsNanos("wayMs", 60, 0, MINUTE_MILLIS),
                        proxies.millisAsNanos("longestWayMs", 300, 0, MINUTE_MILLIS),
                        intValue(proxies, "standing", 5, 1, 10_000),
                        proxies.millisAsNanos("redialLeastMs", 300, 1, MINUTE_MILLIS),
                        proxies.millisAsNanos("redialMostMs", 1200, 1, MINUTE_MILLIS),
                        entriesPerSecond);
        if (read.maxReconnectNanos() < read.minReconnectNanos()) {
            proxies.reject("redialMostMs", "at least redialLeastMs");
        }
        proxies.rejectUnknownFields();
        return read;
    }

    private static Scenario.Clients readClients(JsonFields clients) {
        Scenario.Clients read =
                new Scenario.Clients(
                        intValue(clients, "retries", 2, 0, 10),
                        clients.millisAsNanos("retryWaitMs", 100, 0, MINUTE_MILLIS),
                        clients.doubleValue("patience", 1, 0.05, 1));
        clients.rejectUnknownFields();
        return read;
    }

    private static Scenario.Limits readLimits(JsonFields rules) {
        Scenario.Limits limits =
                new Scenario.Limits(
                        rules.millisAsNanos("lackMs", 3000, 10, MINUTE_MILLIS),
                        rules.millisAsNanos("drainGraceMs", 2500, 100, MINUTE_MILLIS));
        rules.rejectUnknownFields();
        return limits;
    }

    private static long readListDelay(JsonFields list) {
        long nanos = list.millisAsNanos("lateMs", 800, 0, MINUTE_MILLIS);
        list.rejectUnknownFields();
        return nanos;
    }

    private List<Fault> readFaults(
            List<String> zones, List<SiteDefinition.Method> methods, int controllerCount) {
        List<String> methodNames = methods.stream().map(SiteDefinition.Method::name).toList();
        List<Fault> faults = new ArrayList<>();
        for (JsonFields fault : root.objects("troubles", 0, 1000)) {
            String kinds = Fault.Kind.yamlNames();
            String kind = fault.string("kind", null, kinds, kinds.replace("|", ", "));
            JsonFields parameters = fault.object("what");
            faults.add(
                    new Fault(
                            seconds(fault, "at", REQUIRED, 0, DAY_SECONDS),
                            seconds(fault, "for", REQUIRED, 0, DAY_SECONDS),
                            enumValue(Fault.Kind.class, kind, Fault.Kind.HANG),
                            parameters.doubleValue("share", 0.1, 0, 1),
                            oneOf(parameters, "zone", zones, "one of " + String.join(", ", zones)),
                            parameters.doubleValue("factor", 4, 0, 1000),
                            parameters.millisAsNanos("ms", 2000, 0, MINUTE_MILLIS),
                            oneOf(parameters, "method", methodNames, "a method's name"),
                            intValue(parameters, "which", 0, 0, controllerCount - 1)));
            parameters.rejectUnknownFields();
            fault.rejectUnknownFields();
        }
        return faults;
    }

    /** Reads a field whose value is one of the names; the default is the first name. */
    private static String oneOf(
            JsonFields fields, String name, List<String> names, String allowed) {
        String absent = names.isEmpty() ? "" : names.get(0);
        return fields.string(name, absent, String.join("|", names), allowed);
    }
}
