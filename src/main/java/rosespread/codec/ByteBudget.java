package rosespread.codec;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the bytes that all connections of a process hold together, such as incomplete messages or
 * unread replies. While the limit is exceeded, the connection that has gone longest without
 * progress is evicted, so that peers that complete their messages and read their replies stay
 * served. Connections that hold little are not counted.
 *
 * <p>Thread-safe. Evictions run on the thread that exceeded the limit, without the lock held.
 */
public final class ByteBudget {
    /** A connection that holds no more than this is neither counted nor evicted. */
    static final int SMALL_BYTES = 2 << 10;

    /** Part of the heap that a budget may use, as a divisor. */
    private static final long HEAP_DIVISOR = 8;

    private static final long MIN_LIMIT_BYTES = 4L << 20;
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Logger LOG = LoggerFactory.getLogger(ByteBudget.class);

    private static final ByteBudget SHARED =
            new ByteBudget(
                    Math.max(MIN_LIMIT_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR));

    private final long limitBytes;

    /** The holdings above {@link #SMALL_BYTES}, the one longest without progress first. */
    private final Set<Holding> evictable = new LinkedHashSet<>();

    private long totalBytes;
    private long evictions;
    private long nextLogNanos = System.nanoTime();

    /**
     * Creates a budget.
     *
     * @param limitBytes the limit on the bytes of all holdings together
     */
    public ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * The budget of all servers of this process together: an eighth of the heap, but at least 4
     * MiB.
     */
    public static ByteBudget shared() {
        return SHARED;
    }

    /** Creates a budget that never evicts, for connections to peers that this process chose. */
    public static ByteBudget unlimited() {
        return new ByteBudget(Long.MAX_VALUE);
    }

    /**
     * Adds a connection that holds nothing yet.
     *
     * @param heldBytes reads how many bytes the connection holds now; called by the threads that
     *     refresh the holding, with or without the lock held
     * @param evict closes the connection
     */
    public Holding open(IntSupplier heldBytes, Runnable evict) {
        return new Holding(heldBytes, evict);
    }

    /** The bytes that all connections hold. */
    public synchronized long totalBytes() {
        return totalBytes;
    }

    /** Number of connections evicted since the start. */
    public synchronized long evictions() {
        return evictions;
    }

    private synchronized List<Holding> takeEvicted() {
        List<Holding> evicted = new ArrayList<>();
        Iterator<Holding> oldestFirst = evictable.iterator();
        while (totalBytes > limitBytes && oldestFirst.hasNext()) {
            Holding oldest = oldestFirst.next();
            oldestFirst.remove();
            oldest.closed = true;
            totalBytes -= oldest.bytes;
            evicted.add(oldest);
        }
        evictions += evicted.size();
        logIfDue(evicted);
        return evicted;
    }

    private void logIfDue(List<Holding> evicted) {
        if (evicted.isEmpty() || System.nanoTime() - nextLogNanos < 0) {
            return;
        }
        nextLogNanos = System.nanoTime() + LOG_INTERVAL_NANOS;
        LOG.atWarn()
                .addKeyValue("limitBytes", limitBytes)
                .addKeyValue("bytesOfFirst", evicted.get(0).bytes)
                .addKeyValue("evictionsSinceStart", evictions)
                .log("memory budget exceeded; connections without progress are closed");
    }

    /** The bytes that one connection holds. */
    public final class Holding {
        private final IntSupplier heldBytes;
        private final Runnable evict;

        /** The counted bytes; written with the budget's lock held. */
        private volatile int bytes;

        private boolean closed;

        private Holding(IntSupplier heldBytes, Runnable evict) {
            this.heldBytes = heldBytes;
            this.evict = evict;
        }

        /**
         * Reads how many bytes the connection holds, and evicts connections if they are too many.
         */
        public void refresh() {
            refresh(false);
        }

        /** Does the same after the connection has made progress. */
        public void refreshAfterProgress() {
            refresh(true);
        }

        /**
         * Takes no lock while the connection holds little, as almost all do at almost all times.
         */
        private void refresh(boolean progress) {
            if (bytes == 0 && countedBytes() == 0) {
                return;
            }
            update(progress);
            takeEvicted().forEach(holding -> holding.evict.run());
        }

        private int countedBytes() {
            int held = heldBytes.getAsInt();
            return held > SMALL_BYTES ? held : 0;
        }

        private void update(boolean progress) {
            synchronized (ByteBudget.this) {
                if (closed) {
                    return;
                }
                if (progress) {
                    evictable.remove(this);
                }
                set(countedBytes());
                // Another thread that has emptied the connection meanwhile may not have seen the
                // counted bytes, and then does not count them again.
                if (countedBytes() == 0) {
                    set(0);
                }
            }
        }

        private void set(int next) {
            totalBytes += next - bytes;
            bytes = next;
            if (next == 0) {
                evictable.remove(this);
            } else {
                evictable.add(this);
            }
        }

        /** Releases all bytes, as the connection is closed; further calls have no effect. */
        public void close() {
            synchronized (ByteBudget.this) {
                if (!closed) {
                    closed = true;
                    totalBytes -= bytes;
                    evictable.remove(this);
                }
            }
        }
    }
}
