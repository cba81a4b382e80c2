package rosespread.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings cannot be applied; carries every invalid field. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * One invalid field.
     *
     * @param field its path, such as {@code methods[1].name}; {@code (whole)} for the document
     * @param found what was found there, as JSON, shortened if long
     * @param allowed what would be valid, for an operator to read
     */
    public record InvalidField(String field, String found, String allowed) {
        private String describe() {
            return field + " is " + found + "; allowed: " + allowed;
        }
    }

    private final transient List<InvalidField> invalidFields;

    SettingsException(List<InvalidField> invalidFields) {
        super(invalidFields.stream().map(InvalidField::describe).collect(Collectors.joining("; ")));
        this.invalidFields = List.copyOf(invalidFields);
    }

    /** The invalid fields in the order in which they were read; never empty. */
    public List<InvalidField> invalidFields() {
        return invalidFields;
    }
}
