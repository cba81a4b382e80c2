package rosespread.discovery;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The catalog's index of the last accepted node list, which blocking queries use to wait for the
 * next list. The index of a catalog only rises. A lower index comes from a lagging server or from a
 * catalog that was recreated, so it is rejected until lower indexes have been received for a grace
 * period.
 *
 * <p>Not thread-safe.
 */
final class CatalogIndex {
    /** The state of a received list, compared with the last accepted one. */
    enum Change {
        /** The list differs from the last accepted one. */
        CHANGED,
        /** The list is the same as the last accepted one. */
        UNCHANGED,
        /** The list is older than the last accepted one and must not be used. */
        STALE
    }

    /** 18 digits always fit in a long. */
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,18}");

    private static final long NOT_STALE = Long.MIN_VALUE;

    private final long rollbackGraceNanos;
    private long value;
    private long staleSinceNanos = NOT_STALE;

    CatalogIndex(long rollbackGraceNanos) {
        this.rollbackGraceNanos = rollbackGraceNanos;
    }

    /**
     * Parses the value of the header {@code X-Consul-Index}; empty unless it is a whole number
     * above 0.
     */
    static OptionalLong parse(String header) {
        if (!WHOLE_NUMBER.matcher(header).matches()) {
            return OptionalLong.empty();
        }
        long index = Long.parseLong(header);
        return index == 0 ? OptionalLong.empty() : OptionalLong.of(index);
    }

    /** The index of the last accepted list; 0 if there is none. */
    long value() {
        return value;
    }

    /**
     * Whether the next query may block until a change. It may not while responses are stale, since
     * a recreated catalog reaches the known index only much later.
     */
    boolean mayBlock() {
        return value > 0 && staleSinceNanos == NOT_STALE;
    }

    /**
     * Compares the index of a response, received at time {@code now} in nanoseconds, with the known
     * index, and accepts it unless it is stale.
     */
    Change advance(long newIndex, long now) {
        if (newIndex < value) {
            if (staleSinceNanos == NOT_STALE) {
                staleSinceNanos = now;
            }
            if (now - staleSinceNanos < rollbackGraceNanos) {
                return Change.STALE;
            }
        }
        staleSinceNanos = NOT_STALE;
        Change change = newIndex == value ? Change.UNCHANGED : Change.CHANGED;
        value = newIndex;
        return change;
    }
}
