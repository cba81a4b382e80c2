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
        long seed = all.whole("seed", 1, 0, Long.MAX_VALUE);
        List<String> zones = all.texts("zones", 1, 64, null);
        List<String> kinds = all.texts("kinds", 1, 64, null);
        List<FleetSettings.Method> methods = methods(all, kinds, zones);
        FleetSettings.Catalogue list = list(all.object("list"));
        FleetSettings.HealthChecks probes = probes(all.object("probes"));
        String levels = all.text("levels", "none", "share|rate|none", "share, rate or none");
        FleetSettings.Channel channel = channel(all.object("channel"));
        long period = all.millis("reportPeriodMs", Double.NaN, 10, 60_000);
        long grace = all.millis("drainGraceMs", Double.NaN, 100, DAY);
        double leastShare = all.number("drainLeastShare", 0.5, 0, 1);
        List<InetSocketAddress> peers = peers(all);
        JsonFields cold = all.object("cold");
        FleetSettings.WarmUp warming =
                new FleetSettings.WarmUp(
                        cold.millis("timeMs", Double.NaN, 0, DAY),
                        cold.number("share", Double.NaN, 0.01, 1),
                        cold.millis("windowMs", Double.NaN, 0, DAY));
        cold.closed();
        all.end();
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
                    method.text("name", null, "\\S{1,64}", "1 to 64 characters without spaces");
            if (methods.stream().anyMatch(m -> m.name().equals(name))) {
                method.fault("name", "a name that no other method has");
            }
            methods.add(
                    new FleetSettings.Method(
                            name,
                            method.number("criticality", Double.NaN, 0, 1e9),
                            method.texts("onlyKinds", 0, 64, kinds),
                            method.texts("onlyZones", 0, 64, zones),
                            method.flag("ownZone", false)));
            method.closed();
        }
        return methods;
    }

    private static List<InetSocketAddress> peers(JsonFields all) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String text : all.texts("peers", 0, 64, null)) {
            int colon = text.lastIndexOf(':');
            if (colon < 1
                    || !text.substring(colon + 1).matches("[0-9]{1,5}")
                    || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
                all.fault("peers", "addresses as HOST:PORT");
            } else {
                peers.add(
                        new InetSocketAddress(
                                text.substring(0, colon),
                                Integer.parseInt(text.substring(colon + 1))));
            }
        }
        return peers;
    }

    private static FleetSettings.Catalogue list(JsonFields list) {
        FleetSettings.Catalogue read =
                new FleetSettings.Catalogue(
                        list.text(
                                "host",
                                "127.0.0.1",
                                "[0-9A-Za-z.:-]{1,255}",
                                "a host name or address"),
                        (int) list.whole("port", -1, 1, 65_535),
                        list.text("service", null, "[0-9A-Za-z._-]{1,64}", "a service's name"),
                        list.flag("onDemand", false),
                        list.millis("waitMs", 10_000, 100, 600_000),
                        list.millis("silentAfterMs", 2_000, 50, 600_000),
                        list.millis("backwardsAfterMs", 30_000, 0, DAY));
        list.closed();
        return read;
    }

    private static FleetSettings.HealthChecks probes(JsonFields probes) {
        FleetSettings.HealthChecks read =
                new FleetSettings.HealthChecks(
                        probes.flag("allowed", false),
                        probes.text(
                                "path",
                                "/health",
                                "/[\\x21-\\x7e]{0,255}",
                                "a path that begins with /"),
                        probes.millis("timeoutMs", 500, 10, 60_000));
        probes.closed();
        return read;
    }

    private static FleetSettings.Channel channel(JsonFields channel) {
        FleetSettings.Channel read =
                new FleetSettings.Channel(
                        channel.number("linesPerSecond", Double.NaN, 1, 1e9),
                        channel.number("linesPerMessage", Double.NaN, 0, 1e6),
                        channel.number("queueLimit", Double.NaN, 1, 1e9),
                        channel.number("orderPrice", 0, 0, 100),
                        (int) channel.whole("messageLimit", 0, 0, 1_000_000),
                        channel.millis("messageSpanMs", 10_000, 1, DAY),
                        channel.millis("longestWayMs", 0, 0, DAY),
                        channel.millis("keepAliveMs", 500, 20, 60_000));
        channel.closed();
        return read;
    }
}
