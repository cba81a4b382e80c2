package rosespread.api;

/** A kind of machine, by its place among the settings' kinds. */
public record KindId(int value) implements Comparable<KindId> {
    @Override
    public int compareTo(KindId other) {
        return Integer.compare(value, other.value);
    }
}
