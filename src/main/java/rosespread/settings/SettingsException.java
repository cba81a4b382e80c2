package rosespread.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if settings cannot be applied; lists every invalid field. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * One invalid field.
     *
     * @param field the path of the field, such as {@code methods[1].name}; {@code (whole)} for the
     *     whole document
     * @param found the value of the field as JSON, shortened if long
     * @param allowed a description of the allowed values, for an operator to read
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

    /** Returns the invalid fields in the order in which they were read; never empty. */
    public List<InvalidField> invalidFields() {
        return invalidFields;
    }
}
