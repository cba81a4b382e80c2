package rosespread.api;

/** A method, by its place among the settings' methods. */
public record MethodId(int value) implements Comparable<MethodId> {
    @Override
    public int compareTo(MethodId other) {
        return Integer.compare(value, other.value);
    }
}
