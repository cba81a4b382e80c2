package rosespread.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object as it was read, with a plain complaint where a field lacks or is of another type.
 */
public final class ConfigObject {
    private static final double SECOND = 1e9;

    private final String path;
    private final Map<?, ?> values;

    private ConfigObject(String what, Map<?, ?> values) {
        this.path = what;
        this.values = values;
    }

    /** Reads the value at which the parser stands, whole. */
    public static Object read(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                Map<String, Object> object = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String key = parser.currentName();
                    parser.nextToken();
                    object.put(key, read(parser));
                }
                return object;
            case START_ARRAY:
                List<Object> array = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(read(parser));
                }
                return array;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    public static ConfigObject of(String what, Object value) throws ConfigException {
        if (value instanceof Map<?, ?> map) {
            return new ConfigObject(what, map);
        }
        throw new ConfigException(what + " is not an object");
    }

    public boolean has(String key) {
        return values.get(key) != null;
    }

    public ConfigObject object(String key) throws ConfigException {
        return of(path + "." + key, required(key));
    }

    public List<?> array(String key) throws ConfigException {
        if (!has(key)) {
            return List.of();
        }
        if (values.get(key) instanceof List<?> list) {
            return list;
        }
        throw new ConfigException(path + "." + key + " is not an array");
    }

    public List<ConfigObject> objects(String key) throws ConfigException {
        List<ConfigObject> all = new ArrayList<>();
        for (Object value : array(key)) {
            all.add(of(path + "." + key + " entry", value));
        }
        return all;
    }

    public List<ConfigObject> requiredObjects(String key) throws ConfigException {
        required(key);
        return objects(key);
    }

    public String text(String key) throws ConfigException {
        if (required(key) instanceof String text) {
            return text;
        }
        throw new ConfigException(path + "." + key + " is not a string");
    }

    public String text(String key, String absent) throws ConfigException {
        return has(key) ? text(key) : absent;
    }

    public boolean booleanValue(String key) throws ConfigException {
        return has(key) && flagOf(required(key), key);
    }

    /** The flag at a place of an array; false beyond its end. */
    boolean booleanAt(String key, int place) throws ConfigException {
        List<?> all = array(key);
        return place < all.size() && flagOf(all.get(place), key);
    }

    private boolean flagOf(Object value, String key) throws ConfigException {
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new ConfigException(path + "." + key + " is not true or false");
    }

    public double number(String key) throws ConfigException {
        if (required(key) instanceof Number number) {
            return number.doubleValue();
        }
        throw new ConfigException(path + "." + key + " is not a number");
    }

    public double number(String key, double absent) throws ConfigException {
        return has(key) ? number(key) : absent;
    }

    public int integer(String key) throws ConfigException {
        return (int) longValue(key);
    }

    public int integer(String key, int absent) throws ConfigException {
        return has(key) ? integer(key) : absent;
    }

    public long longValue(String key) throws ConfigException {
        if (required(key) instanceof Number number) {
            return number.longValue();
        }
        throw new ConfigException(path + "." + key + " is not a number");
    }

    public long secondsAsNanos(String key) throws ConfigException {
        return Math.round(number(key) * SECOND);
    }

    public long secondsAsNanos(String key, long absent) throws ConfigException {
        return has(key) ? secondsAsNanos(key) : absent;
    }

    private Object required(String key) throws ConfigException {
        Object value = values.get(key);
        if (value == null) {
            throw new ConfigException(path + " lacks \"" + key + "\"");
        }
        return value;
    }
}
