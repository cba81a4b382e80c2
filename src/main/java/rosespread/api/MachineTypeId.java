package rosespread.api;

/** Identity of a machine type: its index among the machine types of the settings. */
public record MachineTypeId(int value) implements Comparable<MachineTypeId> {
    @Override
    public int compareTo(MachineTypeId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Replaces the method generated for records, which calls a method handle and is slow without
     * the C2 compiler.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof MachineTypeId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
