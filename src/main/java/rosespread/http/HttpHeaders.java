package rosespread.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Header fields in their order; names are kept in lower case. */
public final class HttpHeaders {
    private final List<String> containsToken = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    public static HttpHeaders of(String... namesAndValues) {
        HttpHeaders headers = new HttpHeaders();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.add(namesAndValues[i], namesAndValues[i + 1]);
        }
        return headers;
    }

    public HttpHeaders add(String name, String value) {
        containsToken.add(name.toLowerCase(Locale.ROOT));
        values.add(value);
        return this;
    }

    public Optional<String> first(String name) {
        int at = containsToken.indexOf(name);
        return at < 0 ? Optional.empty() : Optional.of(values.get(at));
    }

    /** All values of a field, in order. */
    public List<String> all(String name) {
        List<String> found = new ArrayList<>();
        forEach(
                (n, value) -> {
                    if (n.equals(name)) {
                        found.add(value);
                    }
                });
        return found;
    }

    public int size() {
        return containsToken.size();
    }

    public void forEach(BiConsumer<String, String> taker) {
        for (int i = 0; i < containsToken.size(); i++) {
            taker.accept(containsToken.get(i), values.get(i));
        }
    }

    /** Whether the field, a list of words, has this word (RFC 9110 section 5.6.1). */
    public boolean containsToken(String field, String word) {
        return all(field).stream()
                .flatMap(v -> List.of(v.split(",")).stream())
                .anyMatch(part -> part.trim().equalsIgnoreCase(word));
    }
}
