package rosespread.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads an object of JSON or YAML field by field. An invalid field is recorded, and a placeholder
 * value is returned for it, so that {@link #throwIfInvalid} can report all invalid fields at once.
 * No value may be used before {@link #throwIfInvalid} has returned.
 *
 * <p>Not thread-safe.
 */
public final class JsonFields {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_SHOWN_CHARS = 80;
    private static final String NAME_PATTERN = "\\S{1,64}";

    /** The path that stands for the whole document in errors. */
    static final String WHOLE_DOCUMENT = "(whole)";

    private final String path;
    private final JsonNode node;

    /** The invalid fields found so far; shared by all objects of the document. */
    private final List<SettingsException.InvalidField> invalidFields;

    /** The names of the fields that were read so far. */
    private final Set<String> knownNames = new TreeSet<>();

    /** Creates a reader of the fields of a whole document. */
    public JsonFields(JsonNode document) {
        this("", document, new ArrayList<>());
    }

    private JsonFields(
            String path, JsonNode node, List<SettingsException.InvalidField> invalidFields) {
        this.path = path;
        this.node = node;
        this.invalidFields = invalidFields;
        if (!node.isObject() && !node.isMissingNode()) {
            addInvalid(path.isEmpty() ? WHOLE_DOCUMENT : path, node, "an object");
        }
    }

    /** Records unknown fields as invalid. To be called after all known fields have been read. */
    public void rejectUnknownFields() {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!knownNames.contains(name)) {
                                recordUnknown(name);
                            }
                        });
    }

    private void recordUnknown(String name) {
        String allowed = "only the fields " + String.join(", ", knownNames);
        addInvalid(pathOf(name), node.get(name), allowed);
    }

    /**
     * Reports all invalid fields. To be called last, on the reader of the whole document.
     *
     * @throws SettingsException if any field of the document is invalid or unknown
     */
    public void throwIfInvalid() throws SettingsException {
        rejectUnknownFields();
        if (!invalidFields.isEmpty()) {
            throw new SettingsException(invalidFields);
        }
    }

    /** Returns whether the field is present, even if its value is null. */
    public boolean has(String name) {
        knownNames.add(name);
        return node.has(name);
    }

    /** Returns the object in a field. If the field is missing, all fields of the object are too. */
    public JsonFields object(String name) {
        knownNames.add(name);
        JsonNode value = node.has(name) ? node.get(name) : MissingNode.getInstance();
        return new JsonFields(pathOf(name), value, invalidFields);
    }

    /**
     * Returns the objects of an array of {@code min} to {@code max} elements. The array may be
     * missing if {@code min} is 0.
     */
    public List<JsonFields> objects(String name, int min, int max) {
        List<JsonFields> objects = new ArrayList<>();
        JsonNode array = array(name, min, max);
        for (int i = 0; i < array.size(); i++) {
            objects.add(new JsonFields(pathOf(name, i), array.get(i), invalidFields));
        }
        return objects;
    }

    /** Returns the names of all fields, for objects with arbitrary field names. */
    public List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private JsonNode array(String name, int min, int max) {
        knownNames.add(name);
        JsonNode array = node.path(name);
        if (array.isMissingNode() && min == 0) {
            return array;
        }
        if (!array.isArray() || array.size() < min || array.size() > max) {
            reject(name, "an array of " + min + " to " + max + " elements");
            return MissingNode.getInstance();
        }
        return array;
    }

    /**
     * Returns the strings of an array of {@code min} to {@code max} elements. The strings must be
     * distinct names of 1 to 64 characters without spaces. The array may be missing if {@code min}
     * is 0.
     *
     * @param allowedNames the valid names; null if all names are valid
     */
    public List<String> strings(String name, int min, int max, List<String> allowedNames) {
        List<String> names = new ArrayList<>();
        JsonNode array = array(name, min, max);
        for (int i = 0; i < array.size(); i++) {
            JsonNode entry = array.get(i);
            if (isValidName(entry, names, allowedNames)) {
                names.add(entry.asText());
            } else {
                addInvalid(pathOf(name, i), entry, describeAllowedNames(allowedNames));
            }
        }
        return names;
    }

    private static boolean isValidName(
            JsonNode entry, List<String> previous, List<String> allowedNames) {
        String text = entry.asText();
        return entry.isTextual()
                && text.matches(NAME_PATTERN)
                && !previous.contains(text)
                && (allowedNames == null || allowedNames.contains(text));
    }

    private static String describeAllowedNames(List<String> allowedNames) {
        return allowedNames == null
                ? "1 to 64 characters without spaces, each once"
                : "each once, one of " + String.join(", ", allowedNames);
    }

    /**
     * Returns the string in a field.
     *
     * @param defaultValue the value if the field is missing; null if the field is required
     * @param pattern the regular expression that the whole string must match
     * @param allowed a description of the pattern for the error
     */
    public String string(String name, String defaultValue, String pattern, String allowed) {
        knownNames.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (!value.isTextual() || !value.asText().matches(pattern)) {
            reject(name, allowed);
            return "";
        }
        return value.asText();
    }

    /** Returns the boolean in a field, or {@code defaultValue} if the field is missing. */
    public boolean booleanValue(String name, boolean defaultValue) {
        knownNames.add(name);
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isBoolean()) {
            reject(name, "true or false");
        }
        return value.asBoolean(defaultValue);
    }

    /**
     * Returns the number in a field, which must be from {@code min} to {@code max}.
     *
     * @param defaultValue the value if the field is missing; NaN if the field is required
     */
    public double doubleValue(String name, double defaultValue, double min, double max) {
        knownNames.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && !Double.isNaN(defaultValue)) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            reject(name, "a number from " + min + " to " + max);
            return Math.max(min, 1);
        }
        return value.asDouble();
    }

    /**
     * Returns the integer in a field, which must be from {@code min} to {@code max}.
     *
     * @param defaultValue the value if the field is missing; less than {@code min} if the field is
     *     required
     */
    public long longValue(String name, long defaultValue, long min, long max) {
        knownNames.add(name);
        JsonNode value = node.path(name);
        if (value.isMissingNode() && defaultValue >= min) {
            return defaultValue;
        }
        boolean isLong = value.isIntegralNumber() && value.canConvertToLong();
        if (!isLong || value.asLong() < min || value.asLong() > max) {
            reject(name, "a whole number from " + min + " to " + max);
            return min;
        }
        return value.asLong();
    }

    /**
     * Returns the duration in a field in nanoseconds; the field holds milliseconds.
     *
     * @param defaultValue the milliseconds if the field is missing; NaN if the field is required
     * @param min the minimum in milliseconds
     * @param max the maximum in milliseconds
     */
    public long millisAsNanos(String name, double defaultValue, double min, double max) {
        return Math.round(doubleValue(name, defaultValue, min, max) * NANOS_PER_MILLI);
    }

    /**
     * Records a field as invalid.
     *
     * @param allowed a description of the allowed values
     */
    public void reject(String name, String allowed) {
        addInvalid(pathOf(name), node.path(name), allowed);
    }

    private void addInvalid(String fieldPath, JsonNode found, String allowed) {
        invalidFields.add(
                new SettingsException.InvalidField(fieldPath, abbreviate(found), allowed));
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private String pathOf(String name, int index) {
        return pathOf(name) + "[" + index + "]";
    }

    private static String abbreviate(JsonNode value) {
        String text = value.isMissingNode() ? "missing" : value.toString();
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
