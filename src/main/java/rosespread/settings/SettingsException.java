package rosespread.settings;

import java.util.List;
import java.util.stream.Collectors;

/** PolicySettings that cannot be taken, with every field at fault. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** A field by its path, the value found there as JSON, and what would be allowed. */
    public record InvalidField(String field, String found, String allowed) {}

    private final transient List<InvalidField> invalidFields;

    SettingsException(List<InvalidField> faults) {
        super(
                faults.stream()
                        .map(f -> f.field() + " is " + f.found() + "; allowed: " + f.allowed())
                        .collect(Collectors.joining("; ")));
        this.invalidFields = List.copyOf(faults);
    }

    public List<InvalidField> invalidFields() {
        return invalidFields;
    }
}
