package rosespread.api;

/** Identity of a table of this controller, numbered from 1. */
public record TableId(int value) implements Comparable<TableId> {
    @Override
    public int compareTo(TableId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Replaces the method generated for records, which calls a method handle and is slow without
     * the C2 compiler.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof TableId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
