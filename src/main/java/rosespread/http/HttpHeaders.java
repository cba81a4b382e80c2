package rosespread.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The header fields of a message, in order; a name may occur several times. Names are stored in
 * lower case, and look-ups expect lower-case names. Not thread-safe while fields are added.
 */
public final class HttpHeaders {
    /** Memory that a field needs besides its bytes. */
    private static final int OVERHEAD_BYTES = 128;

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /**
     * Builds headers from alternating names and values.
     *
     * @throws ArrayIndexOutOfBoundsException if the last name has no value
     */
    public static HttpHeaders of(String... namesAndValues) {
        HttpHeaders headers = new HttpHeaders();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.add(namesAndValues[i], namesAndValues[i + 1]);
        }
        return headers;
    }

    /** Appends a field and returns this object. */
    public HttpHeaders add(String name, String value) {
        names.add(name.toLowerCase(Locale.ROOT));
        values.add(value);
        return this;
    }

    /** The value of the first field with the given lower-case name; empty if there is none. */
    public Optional<String> first(String name) {
        int index = names.indexOf(name);
        return index < 0 ? Optional.empty() : Optional.of(values.get(index));
    }

    /**
     * The values of all fields with the given lower-case name, in order; empty if there is none.
     */
    public List<String> all(String name) {
        List<String> found = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equals(name)) {
                found.add(values.get(i));
            }
        }
        return found;
    }

    /** Estimate of the memory in bytes that the fields need. */
    int heldBytes() {
        int bytes = names.size() * OVERHEAD_BYTES;
        for (int i = 0; i < names.size(); i++) {
            bytes += names.get(i).length() + values.get(i).length();
        }
        return bytes;
    }

    /** The number of fields. */
    public int size() {
        return names.size();
    }

    /** Calls the action with each name and value, in order. */
    public void forEach(BiConsumer<String, String> action) {
        for (int i = 0; i < names.size(); i++) {
            action.accept(names.get(i), values.get(i));
        }
    }

    /**
     * Whether a field that is a comma-separated list (RFC 9110, 5.6.1) contains a token; the case
     * of the token does not matter.
     */
    public boolean containsToken(String name, String token) {
        for (String value : all(name)) {
            for (String element : value.split(",")) {
                if (element.trim().equalsIgnoreCase(token)) {
                    return true;
                }
            }
        }
        return false;
    }
}
