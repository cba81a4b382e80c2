package rosespread.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object with typed access to its fields. Fields that are never read are ignored; a null
 * field counts as missing. Every error states the path of the field.
 *
 * <p>Reads tokens into plain maps and lists instead of Jackson's tree model: the simulator adapter
 * is started often and would otherwise load databind for this alone.
 */
public final class ConfigObject {
    private static final double NANOS_PER_SECOND = 1e9;

    private final String path;
    private final Map<?, ?> values;

    private ConfigObject(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /**
     * Reads the value that starts at the parser's current token.
     *
     * @return the value, to be passed to {@link #of}; null for a JSON null
     * @throws IOException if the input is malformed or ends within the value
     */
    public static Object read(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getNumberValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            object.put(key, read(parser));
        }
        return object;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(read(parser));
        }
        return array;
    }

    /**
     * Wraps the object that {@link #read} returned.
     *
     * @param path the name of the object in errors, such as {@code the configuration}
     * @param value a result of {@link #read}, or null
     * @throws ConfigException if the value is not an object
     */
    public static ConfigObject of(String path, Object value) throws ConfigException {
        if (value instanceof Map<?, ?> map) {
            return new ConfigObject(path, map);
        }
        throw ConfigException.wrongType(path, "an object");
    }

    /** Whether the field exists and is not null. */
    public boolean has(String key) {
        return values.get(key) != null;
    }

    /** The object in a required field. */
    public ConfigObject object(String key) throws ConfigException {
        return of(pathOf(key), required(key));
    }

    /** The objects of an array; empty if the field is missing. */
    public List<ConfigObject> objects(String key) throws ConfigException {
        List<ConfigObject> objects = new ArrayList<>();
        for (Object value : array(key)) {
            objects.add(of(pathOf(key) + " entry", value));
        }
        return objects;
    }

    /** The objects of a required array. */
    public List<ConfigObject> requiredObjects(String key) throws ConfigException {
        required(key);
        return objects(key);
    }

    /** The entries of an array, each converted to a string; empty if the field is missing. */
    List<String> names(String key) throws ConfigException {
        List<String> names = new ArrayList<>();
        for (Object value : array(key)) {
            names.add(String.valueOf(value));
        }
        return names;
    }

    private List<?> array(String key) throws ConfigException {
        if (!has(key)) {
            return List.of();
        }
        if (values.get(key) instanceof List<?> list) {
            return list;
        }
        throw ConfigException.wrongType(pathOf(key), "an array");
    }

    /** The string in a required field. */
    public String text(String key) throws ConfigException {
        if (required(key) instanceof String text) {
            return text;
        }
        throw ConfigException.wrongType(pathOf(key), "a string");
    }

    /** The string in a field, or {@code defaultValue} if the field is missing. */
    public String text(String key, String defaultValue) throws ConfigException {
        return has(key) ? text(key) : defaultValue;
    }

    /** The boolean in a field; false if the field is missing. */
    public boolean booleanValue(String key) throws ConfigException {
        return has(key) && booleanOf(required(key), key);
    }

    /**
     * The boolean at an index of an array; false beyond the array's end or if the array is missing.
     */
    boolean booleanAt(String key, int index) throws ConfigException {
        List<?> entries = array(key);
        return index < entries.size() && booleanOf(entries.get(index), key);
    }

    private boolean booleanOf(Object value, String key) throws ConfigException {
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw ConfigException.wrongType(pathOf(key), "true or false");
    }

    /** The number in a required field. */
    public double number(String key) throws ConfigException {
        return requiredNumber(key).doubleValue();
    }

    /** The number in a field, or {@code defaultValue} if the field is missing. */
    public double number(String key, double defaultValue) throws ConfigException {
        return has(key) ? number(key) : defaultValue;
    }

    /** The number at an index of an array; NaN if the array has no number at that index. */
    double numberAt(String key, int index) throws ConfigException {
        List<?> entries = array(key);
        boolean inRange = index >= 0 && index < entries.size();
        return inRange && entries.get(index) instanceof Number number
                ? number.doubleValue()
                : Double.NaN;
    }

    /** The integer in a required field: {@link #longValue} narrowed to 32 bits. */
    public int integer(String key) throws ConfigException {
        return (int) longValue(key);
    }

    /** The integer in a field, or {@code defaultValue} if the field is missing. */
    public int integer(String key, int defaultValue) throws ConfigException {
        return has(key) ? integer(key) : defaultValue;
    }

    /** The number in a required field, truncated to an integer. */
    public long longValue(String key) throws ConfigException {
        return requiredNumber(key).longValue();
    }

    /** The duration in a required field, converted from seconds to nanoseconds. */
    public long secondsAsNanos(String key) throws ConfigException {
        return Math.round(number(key) * NANOS_PER_SECOND);
    }

    /**
     * The duration in a field, converted from seconds to nanoseconds, or {@code defaultNanos} if
     * the field is missing.
     */
    public long secondsAsNanos(String key, long defaultNanos) throws ConfigException {
        return has(key) ? secondsAsNanos(key) : defaultNanos;
    }

    private Number requiredNumber(String key) throws ConfigException {
        if (required(key) instanceof Number number) {
            return number;
        }
        throw ConfigException.wrongType(pathOf(key), "a number");
    }

    private Object required(String key) throws ConfigException {
        Object value = values.get(key);
        if (value == null) {
            throw ConfigException.missing(path, key);
        }
        return value;
    }

    private String pathOf(String key) {
        return path + "." + key;
    }
}
