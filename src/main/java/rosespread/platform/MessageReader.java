package rosespread.platform;

import java.util.List;
import java.util.Set;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.NameRegistry;
import rosespread.platform.MalformedMessageException.Reason;

/**
 * Reads messages of proxies and collectors. Each is validated whole before anything of it is used.
 * Immutable; any thread may use it.
 */
final class MessageReader {
    /**
     * What a load report calls the busy share of a node's cores: the platform's page writes it
     * short, while its collectors were seen to send the names that the settings give their columns.
     */
    private static final Set<String> UTILIZATION_NAMES = Set.of("util", "utilization");

    // Bounds that no true figure comes near.
    private static final int MAX_COUNT = 10_000_000;
    private static final double MAX_REQUESTS_PER_SECOND = 1e7;
    private static final double MAX_UTILIZATION = 16;
    private static final double MAX_METRIC = 1e9;

    private static final int MAX_TOKEN = 65_535;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final NameRegistry names;
    private final int proxies;

    /**
     * Reads messages by these settings.
     *
     * @param names the zones and methods
     * @param proxies how many proxies there are
     */
    MessageReader(NameRegistry names, int proxies) {
        this.names = names;
        this.proxies = proxies;
    }

    /**
     * Reads one message.
     *
     * @param words its kind, then fields and values in turn
     * @throws MalformedMessageException if it can't be used
     */
    Message read(List<String> words) throws MalformedMessageException {
        String kind = words.get(0);
        if (kind.equals("hb")) {
            return new Message.Heartbeat();
        }
        MessageFields fields = new MessageFields(names, proxies, words);
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
                Reason.KIND, "a message of kind \"" + MessageFields.quotable(kind) + "\"");
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
            throw new MalformedMessageException(Reason.RANGE, "errors", "more errors than tries");
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

    /** The mean latency, NaN where no attempt succeeded; it may be left out only there. */
    private static double latencySeconds(MessageFields fields, boolean succeeded)
            throws MalformedMessageException {
        double millis = fields.has("rtt") || succeeded ? fields.millis("rtt") : 0;
        return succeeded && millis > 0 ? millis / MILLIS_PER_SECOND : Double.NaN;
    }

    /** The utilization among the metrics, which are pairs like {@code inflight:7}. */
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
                        "metrics \"" + MessageFields.quotable(pair) + "\" is not a pair");
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
