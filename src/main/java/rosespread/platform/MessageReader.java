package rosespread.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.NameRegistry;
import rosespread.platform.MalformedMessageException.Reason;

/**
 * Reads the platform's messages: first the kind, then names and values in turn. Each is checked
 * whole before anything of it is used. ConfigObject that are not known are passed over.
 */
final class MessageReader {
    /**
     * What a load report calls the busy share of a node's cores: the platform's page writes it
     * short, while its collectors were seen to send the names that the settings give their columns.
     */
    private static final Set<String> UTILIZATION = Set.of("util", "utilization");

    /**
     * Bounds that no true figure comes near: counts of one report, times, rates, a share of cores.
     */
    private static final int MOST_COUNT = 10_000_000;

    private static final double MOST_MILLIS = 600_000,
            MOST_RATE = 1e7,
            MOST_SHARE = 16,
            MOST_LOAD = 1e9;
    private static final double NANOS = 1e6;

    private final NameRegistry names;
    private final int proxies;

    MessageReader(NameRegistry names, int proxies) {
        this.names = names;
        this.proxies = proxies;
    }

    Message read(List<String> words) throws MalformedMessageException {
        String kind = words.get(0);
        if (kind.equals("hb")) {
            return new Message.Heartbeat();
        }
        Words in = new Words(words);
        return switch (kind) {
            case "telemetry" -> new Message.CollectorJoin(in.zone());
            case "attach" ->
                    new Message.ProxyJoin(
                            in.proxy(), in.zone(), in.number("w", 0, MOST_RATE), in.flag("cold"));
            case "done" ->
                    new Message.Acknowledgement(
                            in.proxy(),
                            in.whole("nonce", 0, 65_535),
                            Math.round(in.number("latency", 0, MOST_MILLIS) * NANOS));
            case "upstream_stats" -> in.sums();
            case "client_stats" -> in.offered();
            default ->
                    throw new MalformedMessageException(
                            Reason.KIND, "a message of kind \"" + shown(kind) + "\"");
        };
    }

    private static String shown(String text) {
        return text.substring(0, Math.min(20, text.length())).replaceAll("[^\\x20-\\x7e]", "?");
    }

    private final class Words {
        private final Map<String, String> fields = new HashMap<>();

        Words(List<String> words) throws MalformedMessageException {
            if (words.size() % 2 == 0) {
                throw new MalformedMessageException(Reason.PAIRS, "a name without a value");
            }
            for (int i = 1; i < words.size(); i += 2) {
                if (fields.put(words.get(i), words.get(i + 1)) != null) {
                    throw new MalformedMessageException(
                            Reason.PAIRS, shown(words.get(i)) + " is told twice");
                }
            }
        }

        private String text(String field) throws MalformedMessageException {
            String text = fields.get(field);
            if (text == null) {
                throw new MalformedMessageException(Reason.MISSING, field + " is missing");
            }
            return text;
        }

        private double number(String field, double least, double most)
                throws MalformedMessageException {
            return number(field, text(field), least, most);
        }

        /**
         * Plain figures only: what Java takes beyond them, such as NaN or 0x1p3, is no number here.
         */
        private double number(String field, String text, double least, double most)
                throws MalformedMessageException {
            if (!text.matches(
                    "[+-]?([0-9]{1,18}(\\.[0-9]{0,18})?|\\.[0-9]{1,18})([eE][+-]?[0-9]{1,3})?")) {
                throw new MalformedMessageException(
                        Reason.TYPE, field + " \"" + shown(text) + "\" is not a number");
            }
            double value = Double.parseDouble(text);
            if (!(value >= least && value <= most)) {
                throw new MalformedMessageException(
                        Reason.RANGE, field + " " + shown(text) + " is out of range");
            }
            return value;
        }

        private int whole(String field, int least, int most) throws MalformedMessageException {
            double value = number(field, least, most);
            if (value != Math.rint(value)) {
                throw new MalformedMessageException(Reason.TYPE, field + " is not a whole number");
            }
            return (int) value;
        }

        private boolean flag(String field) throws MalformedMessageException {
            return whole(field, 0, 1) == 1;
        }

        private ZoneId zone() throws MalformedMessageException {
            String zone = text("locality");
            if (!names.namesZone(zone)) {
                throw new MalformedMessageException(
                        Reason.UNKNOWN, "no zone \"" + shown(zone) + "\"");
            }
            return names.zone(zone);
        }

        private ProxyId proxy() throws MalformedMessageException {
            int proxy = whole("node", 0, Integer.MAX_VALUE);
            if (proxy >= proxies) {
                throw new MalformedMessageException(Reason.UNKNOWN, "no proxy " + proxy);
            }
            return new ProxyId(proxy);
        }

        private long covers() throws MalformedMessageException {
            double millis = number("interval", 0, MOST_MILLIS);
            if (millis == 0) {
                throw new MalformedMessageException(Reason.RANGE, "interval is 0");
            }
            return Math.round(millis * NANOS);
        }

        private Message sums() throws MalformedMessageException {
            String node = text("endpoint");
            ZoneId zone = zone();
            int tries = whole("total", 0, MOST_COUNT);
            int unanswered = whole("errors", 0, MOST_COUNT);
            if (unanswered > tries) {
                throw new MalformedMessageException(Reason.RANGE, "more errors than tries");
            }
            double millis =
                    fields.containsKey("rtt") || tries > unanswered
                            ? number("rtt", 0, MOST_MILLIS)
                            : 0;
            double latency = tries > unanswered && millis > 0 ? millis / 1e3 : Double.NaN;
            return new Message.LoadReport(
                    node, zone, tries, unanswered, latency, covers(), utilization());
        }

        private double utilization() throws MalformedMessageException {
            double found = Double.NaN;
            String metrics = fields.get("metrics");
            for (String pair : metrics == null ? new String[0] : metrics.split(",", -1)) {
                int colon = pair.indexOf(':');
                if (colon < 1) {
                    throw new MalformedMessageException(
                            Reason.TYPE, "metrics \"" + shown(pair) + "\" is not a pair");
                }
                String name = pair.substring(0, colon);
                boolean told = UTILIZATION.contains(name);
                double value =
                        number(
                                "metrics",
                                pair.substring(colon + 1),
                                0,
                                told ? MOST_SHARE : MOST_LOAD);
                found = told ? value : found;
            }
            return found;
        }

        private Message offered() throws MalformedMessageException {
            ProxyId proxy = proxy();
            String route = text("route");
            MethodId method =
                    names.findMethod(route)
                            .orElseThrow(
                                    () ->
                                            new MalformedMessageException(
                                                    Reason.UNKNOWN,
                                                    "no method \"" + shown(route) + "\""));
            int count = whole("total", 0, MOST_COUNT);
            whole("errors", 0, MOST_COUNT);
            return new Message.DemandReport(proxy, method, count, covers());
        }
    }
}
