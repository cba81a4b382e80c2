package rosespread.api;

/** Identity of a zone: its index among the zones of the settings. */
public record ZoneId(int value) implements Comparable<ZoneId> {
    @Override
    public int compareTo(ZoneId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Replaces the method generated for records, which calls a method handle and is slow without
     * the C2 compiler.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof ZoneId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
