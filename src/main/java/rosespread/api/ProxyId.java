package rosespread.api;

/** A proxy. */
public record ProxyId(int value) implements Comparable<ProxyId> {
    @Override
    public int compareTo(ProxyId other) {
        return Integer.compare(value, other.value);
    }
}
