package rosespread.eventloop;

import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded lock-free queue of events with many producers, the I/O and timer threads, and one
 * consumer, the event loop's thread.
 *
 * <p>Overload is handled in two ways. Reports are dropped and counted while the queue is at least
 * half full, since later reports supersede them. All other events must be delivered: the producer
 * blocks while the queue is full, and so stops reading its sockets.
 *
 * <p>Memory consistency: actions of a producer before it puts an event happen-before the handling
 * of that event.
 */
public final class EventQueue {
    /** An action on the state that the event loop's thread owns. */
    @FunctionalInterface
    public interface Event {
        /**
         * Applies the event; runs on the event loop's thread and must not block. An exception or
         * error is logged and ends only this event.
         *
         * @param now the value of {@link System#nanoTime()} at the start of the loop's iteration
         */
        void handle(long now);
    }

    private static final int CAPACITY = 1 << 16;
    private static final int REPORT_THRESHOLD = CAPACITY / 2;
    private static final long OFFER_RETRY_NANOS = 100_000L;

    private final MpscArrayQueue<Event> queue = new MpscArrayQueue<>(CAPACITY);
    private final LongAdder droppedReports = new LongAdder();
    private volatile Thread consumer;
    private volatile boolean consumerWaiting;
    private volatile boolean closed;

    /**
     * Adds an event that must not be lost; blocks while the queue is full. After {@link #close} the
     * event is discarded instead. May be called from any thread except the event loop's, which
     * would deadlock on a full queue.
     */
    public void put(Event event) {
        while (!closed && !queue.offer(event)) {
            LockSupport.parkNanos(OFFER_RETRY_NANOS);
        }
        wakeConsumer();
    }

    /**
     * Adds a periodic report, or drops and counts it if the queue is at least half full. Never
     * blocks; may be called from any thread.
     */
    public void putReport(Event event) {
        if (!queue.offerIfBelowThreshold(event, REPORT_THRESHOLD)) {
            droppedReports.increment();
        }
        wakeConsumer();
    }

    private void wakeConsumer() {
        if (consumerWaiting) {
            LockSupport.unpark(consumer);
        }
    }

    /** The number of reports dropped since the start; may be read from any thread. */
    public long droppedReports() {
        return droppedReports.sum();
    }

    /**
     * Makes {@link #put} discard its events from now on, and releases the producers that are
     * blocked in it. Called when the event loop has ended; may be called from any thread.
     */
    public void close() {
        closed = true;
    }

    /**
     * Removes and returns the next event, or null if there is none. Only for the event loop's
     * thread.
     */
    Event poll() {
        return queue.poll();
    }

    /**
     * Waits until an event is put or the given time has passed; may return early. Only for the
     * event loop's thread.
     */
    void await(long nanos) {
        consumer = Thread.currentThread();
        consumerWaiting = true;
        // Checked after the flag is set, so that no event is missed: either its producer sees the
        // flag, or this check sees the event.
        if (queue.isEmpty() && nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
        consumerWaiting = false;
    }
}
