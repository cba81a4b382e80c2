package rosespread.api;

/** A table that this conductor lays. */
public record TableId(int value) implements Comparable<TableId> {
    @Override
    public int compareTo(TableId other) {
        return Integer.compare(value, other.value);
    }
}
