package rosespread.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rosespread.api.PolicySettings;

/**
 * Reads and checks operators' settings; docs/controller.md lists the fields. The bounds are wide:
 * they detect mistakes such as seconds in place of milliseconds, but not unsuitable values.
 */
public final class SettingsReader {
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    /** The default value of a number that is required. */
    private static final double REQUIRED = Double.NaN;

    private static final double MINUTE_MILLIS = 60_000;
    private static final double TEN_MINUTES_MILLIS = 600_000;
    private static final double DAY_MILLIS = 86_400_000;
    private static final int MAX_NAMES = 64;
    private static final int MAX_METHODS = 32;
    private static final int MAX_PEERS = 64;
    private static final int MAX_PORT = 65_535;

    private SettingsReader() {}

    /**
     * Reads settings from JSON.
     *
     * @throws SettingsException with every invalid field, or with line and column if the text is
     *     not JSON
     */
    public static FleetSettings read(String text) throws SettingsException {
        try {
            return read(JSON.readTree(text));
        } catch (JsonProcessingException e) {
            throw new SettingsException(
                    List.of(
                            new SettingsException.InvalidField(
                                    JsonFields.WHOLE_DOCUMENT,
                                    describe(e.getLocation()),
                                    "JSON: " + e.getOriginalMessage())));
        }
    }

    private static String describe(JsonLocation location) {
        return location == null
                ? ""
                : "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    /**
     * Reads settings from a JSON tree.
     *
     * @throws SettingsException with every invalid field
     */
    public static FleetSettings read(JsonNode json) throws SettingsException {
        JsonFields fields = new JsonFields(json);
        FleetSettings settings = settings(fields);
        fields.throwIfInvalid();
        return settings;
    }

    /** Reads all fields. Invalid fields are reported in the order of these reads. */
    private static FleetSettings settings(JsonFields fields) {
        long seed = fields.longValue("seed", 1, 0, Long.MAX_VALUE);
        List<String> zones = fields.strings("zones", 1, MAX_NAMES, null);
        List<String> machineTypes = fields.strings("kinds", 1, MAX_NAMES, null);
        List<FleetSettings.Method> methods = methods(fields, machineTypes, zones);
        FleetSettings.Discovery discovery = discovery(fields.object("list"));
        FleetSettings.HealthChecks healthChecks = healthChecks(fields.object("probes"));
        PolicySettings.Throttle throttle = throttle(fields);
        FleetSettings.Channel channel = channel(fields.object("channel"));
        long reportPeriodNanos =
                fields.millisAsNanos("reportPeriodMs", REQUIRED, 10, MINUTE_MILLIS);
        long drainTimeoutNanos = fields.millisAsNanos("drainGraceMs", REQUIRED, 100, DAY_MILLIS);
        double minCapacityRatio = fields.doubleValue("drainLeastShare", 0.5, 0, 1);
        List<InetSocketAddress> peers = peers(fields);
        FleetSettings.WarmUp warmUp = warmUp(fields.object("cold"));
        return new FleetSettings(
                seed,
                zones,
                machineTypes,
                methods,
                discovery,
                healthChecks,
                throttle,
                channel,
                reportPeriodNanos,
                drainTimeoutNanos,
                minCapacityRatio,
                peers,
                warmUp);
    }

    private static List<FleetSettings.Method> methods(
            JsonFields fields, List<String> machineTypes, List<String> zones) {
        List<FleetSettings.Method> methods = new ArrayList<>();
        for (JsonFields method : fields.objects("methods", 1, MAX_METHODS)) {
            methods.add(method(method, methods, machineTypes, zones));
        }
        return methods;
    }

    private static FleetSettings.Method method(
            JsonFields fields,
            List<FleetSettings.Method> previousMethods,
            List<String> machineTypes,
            List<String> zones) {
        String name = fields.string("name", null, "\\S{1,64}", "1 to 64 characters without spaces");
        if (previousMethods.stream().anyMatch(method -> method.name().equals(name))) {
            fields.reject("name", "a name that no other method has");
        }
        FleetSettings.Method method =
                new FleetSettings.Method(
                        name,
                        fields.doubleValue("criticality", REQUIRED, 0, 1e9),
                        fields.strings("onlyKinds", 0, MAX_NAMES, machineTypes),
                        fields.strings("onlyZones", 0, MAX_NAMES, zones),
                        fields.booleanValue("ownZone", false));
        fields.rejectUnknownFields();
        return method;
    }

    private static FleetSettings.Discovery discovery(JsonFields fields) {
        FleetSettings.Discovery discovery =
                new FleetSettings.Discovery(
                        fields.string(
                                "host",
                                "127.0.0.1",
                                "[0-9A-Za-z.:-]{1,255}",
                                "a host name or address"),
                        (int) fields.longValue("port", -1, 1, MAX_PORT),
                        fields.string("service", null, "[0-9A-Za-z._-]{1,64}", "a service's name"),
                        fields.booleanValue("onDemand", false),
                        fields.millisAsNanos("waitMs", 10_000, 100, TEN_MINUTES_MILLIS),
                        fields.millisAsNanos("silentAfterMs", 2_000, 50, TEN_MINUTES_MILLIS),
                        fields.millisAsNanos("backwardsAfterMs", 30_000, 0, DAY_MILLIS));
        fields.rejectUnknownFields();
        return discovery;
    }

    private static FleetSettings.HealthChecks healthChecks(JsonFields fields) {
        FleetSettings.HealthChecks healthChecks =
                new FleetSettings.HealthChecks(
                        fields.booleanValue("allowed", false),
                        fields.string(
                                "path",
                                "/health",
                                "/[\\x21-\\x7e]{0,255}",
                                "a path that begins with /"),
                        fields.millisAsNanos("timeoutMs", 500, 10, MINUTE_MILLIS));
        fields.rejectUnknownFields();
        return healthChecks;
    }

    private static PolicySettings.Throttle throttle(JsonFields fields) {
        String name = fields.string("levels", "none", "share|rate|none", "share, rate or none");
        return switch (name) {
            case "share" -> PolicySettings.Throttle.SHARE;
            case "rate" -> PolicySettings.Throttle.RATE;
            default -> PolicySettings.Throttle.NONE;
        };
    }

    private static FleetSettings.Channel channel(JsonFields fields) {
        FleetSettings.Channel channel =
                new FleetSettings.Channel(
                        fields.doubleValue("linesPerSecond", REQUIRED, 1, 1e9),
                        fields.doubleValue("linesPerMessage", REQUIRED, 0, 1e6),
                        fields.doubleValue("queueLimit", REQUIRED, 1, 1e9),
                        fields.doubleValue("orderPrice", 0, 0, 100),
                        (int) fields.longValue("messageLimit", 0, 0, 1_000_000),
                        fields.millisAsNanos("messageSpanMs", 10_000, 1, DAY_MILLIS),
                        fields.millisAsNanos("longestWayMs", 0, 0, DAY_MILLIS),
                        fields.millisAsNanos("keepAliveMs", 500, 20, MINUTE_MILLIS));
        fields.rejectUnknownFields();
        return channel;
    }

    private static List<InetSocketAddress> peers(JsonFields fields) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String text : fields.strings("peers", 0, MAX_PEERS, null)) {
            int colonIndex = text.lastIndexOf(':');
            if (colonIndex < 1 || !isPort(text.substring(colonIndex + 1))) {
                fields.reject("peers", "addresses as HOST:PORT");
            } else {
                int port = Integer.parseInt(text.substring(colonIndex + 1));
                peers.add(new InetSocketAddress(text.substring(0, colonIndex), port));
            }
        }
        return peers;
    }

    private static boolean isPort(String text) {
        return text.matches("[0-9]{1,5}") && Integer.parseInt(text) <= MAX_PORT;
    }

    private static FleetSettings.WarmUp warmUp(JsonFields fields) {
        FleetSettings.WarmUp warmUp =
                new FleetSettings.WarmUp(
                        fields.millisAsNanos("timeMs", REQUIRED, 0, DAY_MILLIS),
                        fields.doubleValue("share", REQUIRED, 0.01, 1),
                        fields.millisAsNanos("windowMs", REQUIRED, 0, DAY_MILLIS));
        fields.rejectUnknownFields();
        return warmUp;
    }
}
