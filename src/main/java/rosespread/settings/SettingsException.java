package rosespread.settings;

import java.util.List;
import java.util.stream.Collectors;

/** PolicySettings that cannot be taken, with every field at fault. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** A field by its path, the value found there as JSON, and what would be allowed. */
    public record Fault(String field, String value, String allowed) {}

    private final transient List<Fault> faults;

    SettingsException(List<Fault> faults) {
        super(
                faults.stream()
                        .map(f -> f.field() + " is " + f.value() + "; allowed: " + f.allowed())
                        .collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    public List<Fault> faults() {
        return faults;
    }
}
