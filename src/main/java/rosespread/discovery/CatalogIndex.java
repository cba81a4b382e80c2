package rosespread.discovery;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The catalogue's index of the list that is known, by which blocking queries wait for the next. The
 * index only rises; one that is lower comes from a server that lags, or from a catalogue that was
 * set up again. So a lower index is rejected until lower ones have come for a grace time.
 *
 * <p>Not thread-safe.
 */
final class CatalogIndex {
    /** What a response's index says of its list. */
    enum Change {
        /** The list is another one than is known. */
        CHANGED,
        /** The list is the one that is known. */
        UNCHANGED,
        /** The list is older than the one that is known, and must not be used. */
        STALE
    }

    /** Up to 18 digits always fit a long. */
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,18}");

    private static final long NOT_STALE = Long.MIN_VALUE;

    private final long rollbackGraceNanos;
    private long value;
    private long staleSinceNanos = NOT_STALE;

    CatalogIndex(long rollbackGraceNanos) {
        this.rollbackGraceNanos = rollbackGraceNanos;
    }

    /** The index in the header {@code X-Consul-Index}; empty unless it is a whole number over 0. */
    static OptionalLong parse(String header) {
        if (!WHOLE_NUMBER.matcher(header).matches()) {
            return OptionalLong.empty();
        }
        long index = Long.parseLong(header);
        return index == 0 ? OptionalLong.empty() : OptionalLong.of(index);
    }

    /** The index of the list that is known; 0 if none is. */
    long value() {
        return value;
    }

    /**
     * Whether the next query may wait for a change. It may not while responses are stale, as a
     * catalogue set up again would reach the known index only much later.
     */
    boolean mayBlock() {
        return value > 0 && staleSinceNanos == NOT_STALE;
    }

    /** Takes a response's index, unless that is stale. */
    Change advance(long next, long now) {
        if (next < value) {
            if (staleSinceNanos == NOT_STALE) {
                staleSinceNanos = now;
            }
            if (now - staleSinceNanos < rollbackGraceNanos) {
                return Change.STALE;
            }
        }
        staleSinceNanos = NOT_STALE;
        Change change = next == value ? Change.UNCHANGED : Change.CHANGED;
        value = next;
        return change;
    }
}
