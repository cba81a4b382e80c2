package rosespread.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * An object of JSON or YAML read field by field; what is at fault is noted and reading goes on, so
 * that all faults are told at once. Values stand in for faulty fields until {@link #throwIfInvalid} throws.
 */
public final class JsonFields {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int SHOWN = 80;

    private final String path;
    private final JsonNode node;
    private final List<SettingsException.InvalidField> faults;
    private final Set<String> known = new TreeSet<>();

    public JsonFields(JsonNode node) {
        this("", node, new ArrayList<>());
    }

    private JsonFields(String path, JsonNode node, List<SettingsException.InvalidField> faults) {
        this.path = path;
        this.node = node;
        this.faults = faults;
        if (!node.isObject() && !node.isMissingNode()) {
            faults.add(
                    new SettingsException.InvalidField(
                            path.isEmpty() ? "(whole)" : path, shown(node), "an object"));
        }
    }

    /** Notes the fields that nobody asked for. */
    public void rejectUnknownFields() {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!known.contains(name)) {
                                faults.add(
                                        new SettingsException.InvalidField(
                                                at(name),
                                                shown(node.get(name)),
                                                "no such field; known are "
                                                        + String.join(", ", known)));
                            }
                        });
    }

    public void throwIfInvalid() throws SettingsException {
        rejectUnknownFields();
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
    }

    public boolean has(String name) {
        known.add(name);
        return node.has(name);
    }

    public JsonFields object(String name) {
        known.add(name);
        return new JsonFields(
                at(name), node.has(name) ? node.get(name) : MissingNode.getInstance(), faults);
    }

    /** The objects of an array; {@code most} bounds them. */
    public List<JsonFields> objects(String name, int least, int most) {
        List<JsonFields> all = new ArrayList<>();
        JsonNode array = array(name, least, most);
        for (int i = 0; i < array.size(); i++) {
            all.add(new JsonFields(at(name) + "[" + i + "]", array.get(i), faults));
        }
        return all;
    }

    /** The fields of an object whose names are free. */
    public List<String> names() {
        List<String> all = new ArrayList<>();
        node.fieldNames().forEachRemaining(all::add);
        return all;
    }

    private JsonNode array(String name, int least, int most) {
        known.add(name);
        JsonNode array = node.path(name);
        if (array.isMissingNode() && least == 0) {
            return array;
        }
        if (!array.isArray() || array.size() < least || array.size() > most) {
            reject(name, "an array of " + least + " to " + most);
            return MissingNode.getInstance();
        }
        return array;
    }

    /** Texts of up to 64 characters, all different; from {@code among} unless that is null. */
    public List<String> strings(String name, int least, int most, List<String> among) {
        List<String> all = new ArrayList<>();
        JsonNode array = array(name, least, most);
        for (int i = 0; i < array.size(); i++) {
            JsonNode entry = array.get(i);
            boolean well =
                    entry.isTextual()
                            && entry.asText().matches("\\S{1,64}")
                            && !all.contains(entry.asText())
                            && (among == null || among.contains(entry.asText()));
            if (well) {
                all.add(entry.asText());
            } else {
                faults.add(
                        new SettingsException.InvalidField(
                                at(name) + "[" + i + "]",
                                shown(entry),
                                among == null
                                        ? "1 to 64 characters without spaces, each once"
                                        : "each once, one of " + String.join(", ", among)));
            }
        }
        return all;
    }

    public String string(String name, String absent, String pattern, String allowed) {
        known.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && absent != null) {
            return absent;
        }
        if (!value.isTextual() || !value.asText().matches(pattern)) {
            reject(name, allowed);
            return "";
        }
        return value.asText();
    }

    public boolean booleanValue(String name, boolean absent) {
        known.add(name);
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isBoolean()) {
            reject(name, "true or false");
        }
        return value.asBoolean(absent);
    }

    public double doubleValue(String name, double absent, double least, double most) {
        known.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && !Double.isNaN(absent)) {
            return absent;
        }
        if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            reject(name, "a number from " + least + " to " + most);
            return Math.max(least, 1);
        }
        return value.asDouble();
    }

    public long longValue(String name, long absent, long least, long most) {
        known.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && absent >= least) {
            return absent;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.asLong() < least
                || value.asLong() > most) {
            reject(name, "a whole number from " + least + " to " + most);
            return least;
        }
        return value.asLong();
    }

    /** Milliseconds in the text, nanoseconds in the result. */
    public long millisAsNanos(String name, double absent, double least, double most) {
        return Math.round(doubleValue(name, absent, least, most) * NANOS_PER_MILLI);
    }

    public void reject(String name, String allowed) {
        JsonNode value = node.path(name);
        faults.add(new SettingsException.InvalidField(at(name), shown(value), allowed));
    }

    private String at(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String shown(JsonNode value) {
        String text = value.isMissingNode() ? "missing" : value.toString();
        return text.length() > SHOWN ? text.substring(0, SHOWN) + "..." : text;
    }
}
