package rosespread.api;

/** A zone, by its place among those of the settings. */
public record ZoneId(int value) implements Comparable<ZoneId> {
    @Override
    public int compareTo(ZoneId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Written out: a record's own goes through a method handle, which is slow without the C2
     * compiler.
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
