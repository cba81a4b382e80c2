package rosespread.api;

/** Identity of a proxy: unchanged by reconnects until the controller restarts. */
public record ProxyId(int value) implements Comparable<ProxyId> {
    @Override
    public int compareTo(ProxyId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Replaces the method generated for records, which calls a method handle and is slow without
     * the C2 compiler.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof ProxyId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
