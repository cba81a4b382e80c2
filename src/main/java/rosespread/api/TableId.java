package rosespread.api;

/** A table of this controller, numbered from 1. */
public record TableId(int value) implements Comparable<TableId> {
    @Override
    public int compareTo(TableId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Written out: a record's own goes through a method handle, which is slow without the C2
     * compiler.
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
