package rosespread.adapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON object as it was read, with a plain complaint where a field lacks or is of another type. */
final class Fields {
    private static final double SECOND = 1e9;

    private final String what;
    private final Map<?, ?> values;

    private Fields(String what, Map<?, ?> values) {
        this.what = what;
        this.values = values;
    }

    /** Reads the value at which the parser stands, whole. */
    static Object read(JsonParser parser) throws IOException {
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

    static Fields of(String what, Object value) throws WireException {
        if (value instanceof Map<?, ?> map) {
            return new Fields(what, map);
        }
        throw new WireException(what + " is not an object");
    }

    boolean has(String key) {
        return values.get(key) != null;
    }

    Fields object(String key) throws WireException {
        return of(what + "." + key, need(key));
    }

    List<?> array(String key) throws WireException {
        if (!has(key)) {
            return List.of();
        }
        if (values.get(key) instanceof List<?> list) {
            return list;
        }
        throw new WireException(what + "." + key + " is not an array");
    }

    List<Fields> objects(String key) throws WireException {
        List<Fields> all = new ArrayList<>();
        for (Object value : array(key)) {
            all.add(of(what + "." + key + " entry", value));
        }
        return all;
    }

    List<Fields> requiredObjects(String key) throws WireException {
        need(key);
        return objects(key);
    }

    String text(String key) throws WireException {
        if (need(key) instanceof String text) {
            return text;
        }
        throw new WireException(what + "." + key + " is not a string");
    }

    String text(String key, String absent) throws WireException {
        return has(key) ? text(key) : absent;
    }

    boolean flag(String key) throws WireException {
        return has(key) && flagOf(need(key), key);
    }

    /** The flag at a place of an array; false beyond its end. */
    boolean flagAt(String key, int place) throws WireException {
        List<?> all = array(key);
        return place < all.size() && flagOf(all.get(place), key);
    }

    private boolean flagOf(Object value, String key) throws WireException {
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new WireException(what + "." + key + " is not true or false");
    }

    double number(String key) throws WireException {
        if (need(key) instanceof Number number) {
            return number.doubleValue();
        }
        throw new WireException(what + "." + key + " is not a number");
    }

    double number(String key, double absent) throws WireException {
        return has(key) ? number(key) : absent;
    }

    int integer(String key) throws WireException {
        return (int) whole(key);
    }

    int integer(String key, int absent) throws WireException {
        return has(key) ? integer(key) : absent;
    }

    long whole(String key) throws WireException {
        if (need(key) instanceof Number number) {
            return number.longValue();
        }
        throw new WireException(what + "." + key + " is not a number");
    }

    long nanos(String key) throws WireException {
        return Math.round(number(key) * SECOND);
    }

    long nanos(String key, long absent) throws WireException {
        return has(key) ? nanos(key) : absent;
    }

    private Object need(String key) throws WireException {
        Object value = values.get(key);
        if (value == null) {
            throw new WireException(what + " lacks \"" + key + "\"");
        }
        return value;
    }
}
