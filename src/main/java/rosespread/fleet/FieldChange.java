package rosespread.fleet;

import java.util.Optional;

/**
 * A field whose value differs between two JSON documents.
 *
 * @param path the field's path, such as {@code methods[0].name}; empty for a document that is a
 *     single value
 * @param before the former value as JSON text, empty if the field is new
 * @param after the new value as JSON text, empty if the field is gone
 */
public record FieldChange(String path, Optional<String> before, Optional<String> after) {
    private static final String ABSENT = "none";

    /** Returns {@code PATH: BEFORE -> AFTER}, with {@value #ABSENT} for an absent value. */
    public String describe() {
        return path + ": " + before.orElse(ABSENT) + " -> " + after.orElse(ABSENT);
    }
}
