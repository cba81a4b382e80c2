package rosespread.api;

/** A node, the same for every controller and over restarts of its process. */
public record NodeId(long value) implements Comparable<NodeId> {
    @Override
    public int compareTo(NodeId other) {
        return Long.compare(value, other.value);
    }

    /**
     * Written out: a record's own goes through a method handle, which is slow without the C2
     * compiler.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
