package rosespread.api;

/** A method, by its place among {@link PolicySettings#methods}. */
public record MethodId(int value) implements Comparable<MethodId> {
    @Override
    public int compareTo(MethodId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Written out: a record's own goes through a method handle, which is slow without the C2
     * compiler.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof MethodId id && id.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
