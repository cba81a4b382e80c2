package rosespread.api;

/** A proxy, the same over reconnects while the controller runs. */
public record ProxyId(int value) implements Comparable<ProxyId> {
    @Override
    public int compareTo(ProxyId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Written out: a record's own goes through a method handle, which is slow without the C2
     * compiler.
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
