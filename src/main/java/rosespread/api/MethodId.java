package rosespread.api;

/** Identity of a method: its index in {@link PolicySettings#methods}. */
public record MethodId(int value) implements Comparable<MethodId> {
    @Override
    public int compareTo(MethodId other) {
        return Integer.compare(value, other.value);
    }

    /**
     * Replaces the method generated for records, which calls a method handle and is slow without
     * the C2 compiler.
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
