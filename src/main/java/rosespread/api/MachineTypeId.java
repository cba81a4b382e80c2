package rosespread.api;

/** A machine type, by its place among those of the settings. */
public record MachineTypeId(int value) implements Comparable<MachineTypeId> {
    @Override
    public int compareTo(MachineTypeId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Written out: a record's own goes through a method handle, which is slow without the C2
     * compiler.
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
