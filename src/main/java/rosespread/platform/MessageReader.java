package rosespread.platform;

import java.util.List;
import java.util.Set;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.NameRegistry;
import rosespread.platform.MalformedMessageException.Reason;

/**
 * Parses messages from proxies and collectors. Each message is validated completely before any of
 * it is used. Immutable; any thread may use it.
 */
final class MessageReader {
    /**
     * Names of the metric for the busy fraction of a node's cores. The platform's page uses the
     * short name, but its collectors also send the column names of the settings.
     */
    private static final Set<String> UTILIZATION_NAMES = Set.of("util", "utilization");

    // Upper bounds of the fields' values, far above any real value; larger values are rejected.
    private static final int MAX_COUNT = 10_000_000;
    private static final double MAX_REQUESTS_PER_SECOND = 1e7;
    private static final double MAX_UTILIZATION = 16;
    private static final double MAX_METRIC = 1e9;

    private static final int MAX_TOKEN = 65_535;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final NameRegistry names;
    private final int proxies;

    /**
     * Creates a reader for these settings.
     *
     * @param names the zones and methods
     * @param proxies the number of proxies
     */
    MessageReader(NameRegistry names, int proxies) {
        this.names = names;
        this.proxies = proxies;
    }

    /**
     * Parses one message.
     *
     * @param strings the message: its kind, then field names and values in turn
     * @throws MalformedMessageException if it can't be used
     */
    Message read(List<String> strings) throws MalformedMessageException {
        String kind = strings.get(0);
        if (kind.equals("hb")) {
            return new Message.Heartbeat();
        }
        MessageFields fields = new MessageFields(names, proxies, strings);
        return switch (kind) {
            case "telemetry" -> new Message.CollectorJoin(fields.zone());
            case "attach" -> proxyJoin(fields);
            case "done" -> acknowledgement(fields);
            case "upstream_stats" -> loadReport(fields);
            case "client_stats" -> demandReport(fields);
            default -> throw unknownKind(kind);
        };
    }

    private static MalformedMessageException unknownKind(String kind) {
        return new MalformedMessageException(
                Reason.KIND, "message kind \"" + MessageFields.quotable(kind) + "\" is unknown");
    }

    private static Message proxyJoin(MessageFields fields) throws MalformedMessageException {
        return new Message.ProxyJoin(
                fields.proxy(),
                fields.zone(),
                fields.number("w", 0, MAX_REQUESTS_PER_SECOND),
                fields.flag("cold"));
    }

    private static Message acknowledgement(MessageFields fields) throws MalformedMessageException {
        return new Message.Acknowledgement(
                fields.proxy(), fields.integer("nonce", 0, MAX_TOKEN), fields.nanos("latency"));
    }

    private static Message loadReport(MessageFields fields) throws MalformedMessageException {
        String node = fields.text("endpoint");
        ZoneId zone = fields.zone();
        int attempts = fields.integer("total", 0, MAX_COUNT);
        int failures = fields.integer("errors", 0, MAX_COUNT);
        if (failures > attempts) {
            throw new MalformedMessageException(
                    Reason.RANGE,
                    "errors",
                    "errors is " + failures + ", expected at most total, which is " + attempts);
        }
        double latencySeconds = latencySeconds(fields, attempts > failures);
        return new Message.LoadReport(
                node,
                zone,
                attempts,
                failures,
                latencySeconds,
                fields.periodNanos(),
                utilization(fields));
    }

    /**
     * The mean latency; NaN if no attempt succeeded or the latency is 0. The field is required if
     * an attempt succeeded.
     */
    private static double latencySeconds(MessageFields fields, boolean succeeded)
            throws MalformedMessageException {
        double millis = fields.has("rtt") || succeeded ? fields.millis("rtt") : 0;
        return succeeded && millis > 0 ? millis / MILLIS_PER_SECOND : Double.NaN;
    }

    /** The utilization among the metrics, pairs like {@code inflight:7}; NaN if not reported. */
    private static double utilization(MessageFields fields) throws MalformedMessageException {
        double utilization = Double.NaN;
        if (!fields.has("metrics")) {
            return utilization;
        }
        for (String pair : fields.text("metrics").split(",", -1)) {
            int colon = pair.indexOf(':');
            if (colon < 1) {
                throw new MalformedMessageException(
                        Reason.TYPE,
                        "metrics",
                        "metrics contains \""
                                + MessageFields.quotable(pair)
                                + "\", expected name:value");
            }
            boolean isUtilization = UTILIZATION_NAMES.contains(pair.substring(0, colon));
            double max = isUtilization ? MAX_UTILIZATION : MAX_METRIC;
            double value = MessageFields.parse("metrics", pair.substring(colon + 1), 0, max);
            utilization = isUtilization ? value : utilization;
        }
        return utilization;
    }

    private static Message demandReport(MessageFields fields) throws MalformedMessageException {
        ProxyId proxy = fields.proxy();
        MethodId method = fields.method();
        int requests = fields.integer("total", 0, MAX_COUNT);
        fields.integer("errors", 0, MAX_COUNT);
        return new Message.DemandReport(proxy, method, requests, fields.periodNanos());
    }
}
