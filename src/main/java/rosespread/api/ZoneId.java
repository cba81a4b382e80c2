package rosespread.api;

/** A zone, by its place among the settings' zones. */
public record ZoneId(int value) implements Comparable<ZoneId> {
    @Override
    public int compareTo(ZoneId other) {
        return Integer.compare(value, other.value);
    }
}
