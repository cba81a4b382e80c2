package rosespread.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object with typed access to its fields. Fields that nobody asks for are passed over; a
 * field that is null counts as missing. Every error names the field's path.
 *
 * <p>Reads tokens into plain maps and lists instead of Jackson's tree, as the simulator adapter
 * starts often and has no use for the rest of databind.
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
     * Reads the whole value whose first token is the parser's current one.
     *
     * @return the value, to be given to {@link #of}
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
     * The object that {@link #read} returned.
     *
     * @param path what errors call it, such as {@code the configuration}
     * @param value a result of {@link #read}, or null
     * @throws ConfigException if the value is not an object
     */
    public static ConfigObject of(String path, Object value) throws ConfigException {
        if (value instanceof Map<?, ?> map) {
            return new ConfigObject(path, map);
        }
        throw ConfigException.wrongType(path, "an object");
    }

    /** Whether the field is there and not null. */
    public boolean has(String key) {
        return values.get(key) != null;
    }

    /** The object in a field that must be there. */
    public ConfigObject object(String key) throws ConfigException {
        return of(pathOf(key), required(key));
    }

    /** The objects of an array; none if the field is missing. */
    public List<ConfigObject> objects(String key) throws ConfigException {
        List<ConfigObject> all = new ArrayList<>();
        for (Object value : array(key)) {
            all.add(of(pathOf(key) + " entry", value));
        }
        return all;
    }

    /** The objects of an array that must be there. */
    public List<ConfigObject> requiredObjects(String key) throws ConfigException {
        required(key);
        return objects(key);
    }

    /** The entries of an array as text, whatever their type; none if the field is missing. */
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

    /** The string in a field that must be there. */
    public String text(String key) throws ConfigException {
        if (required(key) instanceof String text) {
            return text;
        }
        throw ConfigException.wrongType(pathOf(key), "a string");
    }

    /** The string in a field, or {@code absent} if the field is missing. */
    public String text(String key, String absent) throws ConfigException {
        return has(key) ? text(key) : absent;
    }

    /** The truth value in a field; false if the field is missing. */
    public boolean booleanValue(String key) throws ConfigException {
        return has(key) && booleanOf(required(key), key);
    }

    /** The truth value at an index of an array; false beyond its end or if it is missing. */
    boolean booleanAt(String key, int index) throws ConfigException {
        List<?> all = array(key);
        return index < all.size() && booleanOf(all.get(index), key);
    }

    private boolean booleanOf(Object value, String key) throws ConfigException {
        if (value instanceof Boolean truth) {
            return truth;
        }
        throw ConfigException.wrongType(pathOf(key), "true or false");
    }

    /** The number in a field that must be there. */
    public double number(String key) throws ConfigException {
        return requiredNumber(key).doubleValue();
    }

    /** The number in a field, or {@code absent} if the field is missing. */
    public double number(String key, double absent) throws ConfigException {
        return has(key) ? number(key) : absent;
    }

    /** The number at an index of an array; NaN if there is none at that index. */
    double numberAt(String key, int index) throws ConfigException {
        List<?> all = array(key);
        boolean within = index >= 0 && index < all.size();
        return within && all.get(index) instanceof Number number
                ? number.doubleValue()
                : Double.NaN;
    }

    /** As {@link #longValue}, narrowed to 32 bits. */
    public int integer(String key) throws ConfigException {
        return (int) longValue(key);
    }

    /** As {@link #integer(String)}, or {@code absent} if the field is missing. */
    public int integer(String key, int absent) throws ConfigException {
        return has(key) ? integer(key) : absent;
    }

    /** The number in a field that must be there, without its fraction. */
    public long longValue(String key) throws ConfigException {
        return requiredNumber(key).longValue();
    }

    /** The nanoseconds in a field that must be there and holds seconds. */
    public long secondsAsNanos(String key) throws ConfigException {
        return Math.round(number(key) * NANOS_PER_SECOND);
    }

    /** As {@link #secondsAsNanos(String)}, or {@code absentNanos} if the field is missing. */
    public long secondsAsNanos(String key, long absentNanos) throws ConfigException {
        return has(key) ? secondsAsNanos(key) : absentNanos;
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
