package rosespread.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.NameRegistry;
import rosespread.platform.MalformedMessageException.Reason;

/**
 * The fields of one message, read as typed values and checked against their bounds. Fields that are
 * not read are ignored. Every getter throws a {@link MalformedMessageException} that names the
 * invalid field.
 */
final class MessageFields {
    /**
     * Upper bound of each time in a message, in milliseconds, far above any real value; a larger
     * time is rejected.
     */
    private static final double MAX_MILLIS = 600_000;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_QUOTED_LENGTH = 20;

    /**
     * Matches plain decimals. Other forms that Java would parse, such as NaN or 0x1p3, are
     * rejected.
     */
    private static final Pattern DECIMAL =
            Pattern.compile(
                    "[+-]?([0-9]{1,18}(\\.[0-9]{0,18})?|\\.[0-9]{1,18})([eE][+-]?[0-9]{1,3})?");

    private static final Pattern UNPRINTABLE = Pattern.compile("[^\\x20-\\x7e]");

    private final NameRegistry names;
    private final int proxies;
    private final Map<String, String> values = new HashMap<>();

    /**
     * Reads the fields of a message.
     *
     * @param names the zones and methods of the settings
     * @param proxies the number of proxies
     * @param strings the message: its kind, then field names and values in turn
     * @throws MalformedMessageException if a name has no value or a field is repeated
     */
    MessageFields(NameRegistry names, int proxies, List<String> strings)
            throws MalformedMessageException {
        this.names = names;
        this.proxies = proxies;
        if (strings.size() % 2 == 0) {
            throw new MalformedMessageException(
                    Reason.PAIRS,
                    "field " + quotable(strings.get(strings.size() - 1)) + " has no value");
        }
        for (int i = 1; i < strings.size(); i += 2) {
            String field = strings.get(i);
            if (values.put(field, strings.get(i + 1)) != null) {
                throw new MalformedMessageException(
                        Reason.PAIRS, field, "field " + quotable(field) + " is repeated");
            }
        }
    }

    /** The first characters of a peer's text, unprintable ones replaced, to quote in a reply. */
    static String quotable(String text) {
        String beginning = text.substring(0, Math.min(MAX_QUOTED_LENGTH, text.length()));
        return UNPRINTABLE.matcher(beginning).replaceAll("?");
    }

    boolean has(String field) {
        return values.containsKey(field);
    }

    /** The text of a required field. */
    String text(String field) throws MalformedMessageException {
        String text = values.get(field);
        if (text == null) {
            throw new MalformedMessageException(Reason.MISSING, field, field + " is missing");
        }
        return text;
    }

    double number(String field, double min, double max) throws MalformedMessageException {
        return parse(field, text(field), min, max);
    }

    /** Parses a number within the field's value. */
    static double parse(String field, String text, double min, double max)
            throws MalformedMessageException {
        if (!DECIMAL.matcher(text).matches()) {
            throw new MalformedMessageException(
                    Reason.TYPE, field, field + " \"" + quotable(text) + "\" is not a number");
        }
        double value = Double.parseDouble(text);
        if (!(value >= min && value <= max)) {
            throw new MalformedMessageException(
                    Reason.RANGE,
                    field,
                    field + " is " + quotable(text) + ", expected " + min + " to " + max);
        }
        return value;
    }

    int integer(String field, int min, int max) throws MalformedMessageException {
        double value = number(field, min, max);
        if (value != Math.rint(value)) {
            throw new MalformedMessageException(
                    Reason.TYPE, field, field + " is " + value + ", expected a whole number");
        }
        return (int) value;
    }

    boolean flag(String field) throws MalformedMessageException {
        return integer(field, 0, 1) == 1;
    }

    /** A time in milliseconds. */
    double millis(String field) throws MalformedMessageException {
        return number(field, 0, MAX_MILLIS);
    }

    /** A time in nanoseconds, converted from the milliseconds on the wire. */
    long nanos(String field) throws MalformedMessageException {
        return Math.round(millis(field) * NANOS_PER_MILLI);
    }

    /** The length of the reported period in nanoseconds. */
    long periodNanos() throws MalformedMessageException {
        double millis = millis("interval");
        if (millis == 0) {
            throw new MalformedMessageException(
                    Reason.RANGE, "interval", "interval is 0 ms, expected more than 0 ms");
        }
        return Math.round(millis * NANOS_PER_MILLI);
    }

    ZoneId zone() throws MalformedMessageException {
        String zone = text("locality");
        if (!names.isConfiguredZone(zone)) {
            throw new MalformedMessageException(
                    Reason.UNKNOWN,
                    "locality",
                    "locality \"" + quotable(zone) + "\" is not a known zone");
        }
        return names.zone(zone);
    }

    ProxyId proxy() throws MalformedMessageException {
        int proxy = integer("node", 0, Integer.MAX_VALUE);
        if (proxy >= proxies) {
            throw new MalformedMessageException(
                    Reason.UNKNOWN,
                    "node",
                    "node is " + proxy + ", expected a proxy number less than " + proxies);
        }
        return new ProxyId(proxy);
    }

    MethodId method() throws MalformedMessageException {
        String route = text("route");
        return names.findMethod(route).orElseThrow(() -> unknownMethod(route));
    }

    private static MalformedMessageException unknownMethod(String route) {
        return new MalformedMessageException(
                Reason.UNKNOWN, "route", "route \"" + quotable(route) + "\" is not a known method");
    }
}
