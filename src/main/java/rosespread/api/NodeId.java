package rosespread.api;

/** A node, the same for every conductor and over restarts of its process. */
public record NodeId(long value) implements Comparable<NodeId> {
    @Override
    public int compareTo(NodeId other) {
        return Long.compare(value, other.value);
    }
}
