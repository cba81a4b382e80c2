package rosespread.api;

/** Identity of a node: the same at every controller, and unchanged by restarts of the node. */
public record NodeId(long value) implements Comparable<NodeId> {
    @Override
    public int compareTo(NodeId other) {
        return Long.compare(value, other.value);
    }

    /**
     * Replaces the method generated for records, which calls a method handle and is slow without
     * the C2 compiler.
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
