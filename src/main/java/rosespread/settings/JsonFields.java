package rosespread.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads an object of JSON or YAML field by field. An invalid field is recorded and reading goes on
 * with a value in its place, so that {@link #throwIfInvalid} can report all of them at once;
 * nothing that was read may be used before that has returned.
 *
 * <p>Not thread-safe.
 */
public final class JsonFields {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_SHOWN_CHARS = 80;
    private static final String NAME_PATTERN = "\\S{1,64}";

    /** The path of a whole document in errors. */
    static final String WHOLE = "(whole)";

    private final String path;
    private final JsonNode node;

    /** Shared by a document's objects. */
    private final List<SettingsException.InvalidField> invalidFields;

    /** The names asked for so far. */
    private final Set<String> known = new TreeSet<>();

    /** The fields of a whole document. */
    public JsonFields(JsonNode document) {
        this("", document, new ArrayList<>());
    }

    private JsonFields(
            String path, JsonNode node, List<SettingsException.InvalidField> invalidFields) {
        this.path = path;
        this.node = node;
        this.invalidFields = invalidFields;
        if (!node.isObject() && !node.isMissingNode()) {
            addInvalid(path.isEmpty() ? WHOLE : path, node, "an object");
        }
    }

    /** Records the fields of this object that were never asked for; called once all were. */
    public void rejectUnknownFields() {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!known.contains(name)) {
                                recordUnknown(name);
                            }
                        });
    }

    private void recordUnknown(String name) {
        String allowed = "no such field; known are " + String.join(", ", known);
        addInvalid(pathOf(name), node.get(name), allowed);
    }

    /**
     * Ends the reading of the document; called on the document's own fields, after all else.
     *
     * @throws SettingsException if any field of the document is invalid or unknown
     */
    public void throwIfInvalid() throws SettingsException {
        rejectUnknownFields();
        if (!invalidFields.isEmpty()) {
            throw new SettingsException(invalidFields);
        }
    }

    /** Whether the field is there, be it null. */
    public boolean has(String name) {
        known.add(name);
        return node.has(name);
    }

    /** The object in a field; its own fields are read as missing if the field is. */
    public JsonFields object(String name) {
        known.add(name);
        JsonNode value = node.has(name) ? node.get(name) : MissingNode.getInstance();
        return new JsonFields(pathOf(name), value, invalidFields);
    }

    /**
     * The objects of an array of {@code least} to {@code most}; if 0 will do, it may be missing.
     */
    public List<JsonFields> objects(String name, int least, int most) {
        List<JsonFields> objects = new ArrayList<>();
        JsonNode array = array(name, least, most);
        for (int i = 0; i < array.size(); i++) {
            objects.add(new JsonFields(pathOf(name, i), array.get(i), invalidFields));
        }
        return objects;
    }

    /** The names of all fields, for objects whose field names are free. */
    public List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
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

    /**
     * The strings of an array of {@code least} to {@code most}: names of 1 to 64 characters without
     * spaces, each once.
     *
     * @param among the names that are valid; null if all are
     */
    public List<String> strings(String name, int least, int most, List<String> among) {
        List<String> texts = new ArrayList<>();
        JsonNode array = array(name, least, most);
        for (int i = 0; i < array.size(); i++) {
            JsonNode entry = array.get(i);
            if (isNewName(entry, texts, among)) {
                texts.add(entry.asText());
            } else {
                addInvalid(pathOf(name, i), entry, allowedNames(among));
            }
        }
        return texts;
    }

    private static boolean isNewName(JsonNode entry, List<String> earlier, List<String> among) {
        String text = entry.asText();
        return entry.isTextual()
                && text.matches(NAME_PATTERN)
                && !earlier.contains(text)
                && (among == null || among.contains(text));
    }

    private static String allowedNames(List<String> among) {
        return among == null
                ? "1 to 64 characters without spaces, each once"
                : "each once, one of " + String.join(", ", among);
    }

    /**
     * The string in a field.
     *
     * @param absent the value if the field is missing; null if it must be there
     * @param pattern the regular expression that the whole string must match
     * @param allowed the pattern in words
     */
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

    /** The truth value in a field, or {@code absent} if the field is missing. */
    public boolean booleanValue(String name, boolean absent) {
        known.add(name);
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isBoolean()) {
            reject(name, "true or false");
        }
        return value.asBoolean(absent);
    }

    /**
     * The number in a field, from {@code least} to {@code most}.
     *
     * @param absent the value if the field is missing; NaN if it must be there
     */
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

    /**
     * The whole number in a field, from {@code least} to {@code most}.
     *
     * @param absent the value if the field is missing; under {@code least} if it must be there
     */
    public long longValue(String name, long absent, long least, long most) {
        known.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && absent >= least) {
            return absent;
        }
        boolean isLong = value.isIntegralNumber() && value.canConvertToLong();
        if (!isLong || value.asLong() < least || value.asLong() > most) {
            reject(name, "a whole number from " + least + " to " + most);
            return least;
        }
        return value.asLong();
    }

    /**
     * The duration in a field that holds milliseconds, in nanoseconds.
     *
     * @param absent the milliseconds if the field is missing; NaN if it must be there
     * @param least the fewest milliseconds allowed
     * @param most the most milliseconds allowed
     */
    public long millisAsNanos(String name, double absent, double least, double most) {
        return Math.round(doubleValue(name, absent, least, most) * NANOS_PER_MILLI);
    }

    /** Records a field as invalid. */
    public void reject(String name, String allowed) {
        addInvalid(pathOf(name), node.path(name), allowed);
    }

    private void addInvalid(String fieldPath, JsonNode found, String allowed) {
        invalidFields.add(new SettingsException.InvalidField(fieldPath, shown(found), allowed));
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private String pathOf(String name, int index) {
        return pathOf(name) + "[" + index + "]";
    }

    private static String shown(JsonNode value) {
        String text = value.isMissingNode() ? "missing" : value.toString();
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
