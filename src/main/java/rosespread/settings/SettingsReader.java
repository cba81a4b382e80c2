package rosespread.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rosespread.api.PolicySettings;

/** Reads and checks the settings' JSON; docs/conductor.md lists the fields. */
public final class SettingsReader {
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final double DAY = 86_400_000;

    private SettingsReader() {}

    /**
     * @throws SettingsException with every field at fault, or with line and column if it is not
     *     JSON
     */
    public static FleetSettings read(String text) throws SettingsException {
        try {
            return read(JSON.readTree(text));
        } catch (JsonProcessingException e) {
            String place =
                    e.getLocation() == null
                            ? ""
                            : "line "
                                    + e.getLocation().getLineNr()
                                    + ", column "
                                    + e.getLocation().getColumnNr();
            throw new SettingsException(
                    List.of(
                            new SettingsException.InvalidField(
                                    "(whole)", place, "JSON: " + e.getOriginalMessage())));
        }
    }

    public static FleetSettings read(JsonNode json) throws SettingsException {
        JsonFields all = new JsonFields(json);
        long seed = all.longValue("seed", 1, 0, Long.MAX_VALUE);
        List<String> zones = all.strings("zones", 1, 64, null);
        List<String> kinds = all.strings("kinds", 1, 64, null);
        List<FleetSettings.Method> methods = methods(all, kinds, zones);
        FleetSettings.Discovery list = list(all.object("list"));
        FleetSettings.HealthChecks probes = probes(all.object("probes"));
        String levels = all.string("levels", "none", "share|rate|none", "share, rate or none");
        FleetSettings.Channel channel = channel(all.object("channel"));
        long period = all.millisAsNanos("reportPeriodMs", Double.NaN, 10, 60_000);
        long grace = all.millisAsNanos("drainGraceMs", Double.NaN, 100, DAY);
        double leastShare = all.doubleValue("drainLeastShare", 0.5, 0, 1);
        List<InetSocketAddress> peers = peers(all);
        JsonFields cold = all.object("cold");
        FleetSettings.WarmUp warming =
                new FleetSettings.WarmUp(
                        cold.millisAsNanos("timeMs", Double.NaN, 0, DAY),
                        cold.doubleValue("share", Double.NaN, 0.01, 1),
                        cold.millisAsNanos("windowMs", Double.NaN, 0, DAY));
        cold.rejectUnknownFields();
        all.throwIfInvalid();
        return new FleetSettings(
                seed,
                zones,
                kinds,
                methods,
                list,
                probes,
                PolicySettings.Throttle.valueOf(levels.toUpperCase(Locale.ROOT)),
                channel,
                period,
                grace,
                leastShare,
                peers,
                warming);
    }

    private static List<FleetSettings.Method> methods(
            JsonFields all, List<String> kinds, List<String> zones) {
        List<FleetSettings.Method> methods = new ArrayList<>();
        for (JsonFields method : all.objects("methods", 1, 32)) {
            String name =
                    method.string("name", null, "\\S{1,64}", "1 to 64 characters without spaces");
            if (methods.stream().anyMatch(m -> m.name().equals(name))) {
                method.reject("name", "a name that no other method has");
            }
            methods.add(
                    new FleetSettings.Method(
                            name,
                            method.doubleValue("criticality", Double.NaN, 0, 1e9),
                            method.strings("onlyKinds", 0, 64, kinds),
                            method.strings("onlyZones", 0, 64, zones),
                            method.booleanValue("ownZone", false)));
            method.rejectUnknownFields();
        }
        return methods;
    }

    private static List<InetSocketAddress> peers(JsonFields all) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String text : all.strings("peers", 0, 64, null)) {
            int colon = text.lastIndexOf(':');
            if (colon < 1
                    || !text.substring(colon + 1).matches("[0-9]{1,5}")
                    || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
                all.reject("peers", "addresses as HOST:PORT");
            } else {
                peers.add(
                        new InetSocketAddress(
                                text.substring(0, colon),
                                Integer.parseInt(text.substring(colon + 1))));
            }
        }
        return peers;
    }

    private static FleetSettings.Discovery list(JsonFields list) {
        FleetSettings.Discovery read =
                new FleetSettings.Discovery(
                        list.string(
                                "host",
                                "127.0.0.1",
                                "[0-9A-Za-z.:-]{1,255}",
                                "a host name or address"),
                        (int) list.longValue("port", -1, 1, 65_535),
                        list.string("service", null, "[0-9A-Za-z._-]{1,64}", "a service's name"),
                        list.booleanValue("onDemand", false),
                        list.millisAsNanos("waitMs", 10_000, 100, 600_000),
                        list.millisAsNanos("silentAfterMs", 2_000, 50, 600_000),
                        list.millisAsNanos("backwardsAfterMs", 30_000, 0, DAY));
        list.rejectUnknownFields();
        return read;
    }

    private static FleetSettings.HealthChecks probes(JsonFields probes) {
        FleetSettings.HealthChecks read =
                new FleetSettings.HealthChecks(
                        probes.booleanValue("allowed", false),
                        probes.string(
                                "path",
                                "/health",
                                "/[\\x21-\\x7e]{0,255}",
                                "a path that begins with /"),
                        probes.millisAsNanos("timeoutMs", 500, 10, 60_000));
        probes.rejectUnknownFields();
        return read;
    }

    private static FleetSettings.Channel channel(JsonFields channel) {
        FleetSettings.Channel read =
                new FleetSettings.Channel(
                        channel.doubleValue("linesPerSecond", Double.NaN, 1, 1e9),
                        channel.doubleValue("linesPerMessage", Double.NaN, 0, 1e6),
                        channel.doubleValue("queueLimit", Double.NaN, 1, 1e9),
                        channel.doubleValue("orderPrice", 0, 0, 100),
                        (int) channel.longValue("messageLimit", 0, 0, 1_000_000),
                        channel.millisAsNanos("messageSpanMs", 10_000, 1, DAY),
                        channel.millisAsNanos("longestWayMs", 0, 0, DAY),
                        channel.millisAsNanos("keepAliveMs", 500, 20, 60_000));
        channel.rejectUnknownFields();
        return read;
    }
}
