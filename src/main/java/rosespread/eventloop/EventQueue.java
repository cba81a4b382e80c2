package rosespread.eventloop;

import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded lock-free queue of events with many producers, the I/O and timer threads, and one
 * consumer, the event loop's thread.
 *
 * <p>Overload is met in two ways. Reports are superseded by later reports, so they are dropped and
 * counted once the queue is half full. Every other event must arrive: its producer blocks while the
 * queue is full, which in turn stops it from reading its sockets.
 *
 * <p>Memory effects: what a producer did before it put an event happens before the event is
 * handled.
 */
public final class EventQueue {
    /** Something that happened, as an action on the state that the event loop's thread owns. */
    @FunctionalInterface
    public interface Event {
        /**
         * Applies the event; runs on the event loop's thread and must not block. What it throws is
         * logged and ends only this event.
         *
         * @param now the time of {@link System#nanoTime()} at which the queue is drained
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
     * event is discarded instead. May be called from any thread but the event loop's, which would
     * wait for itself.
     */
    public void put(Event event) {
        while (!closed && !queue.offer(event)) {
            LockSupport.parkNanos(OFFER_RETRY_NANOS);
        }
        wakeConsumer();
    }

    /**
     * Adds a periodic report, or drops and counts it if the queue is half full or more. Never
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
     * Discards every later event of {@link #put}, and releases the producers that wait for room.
     * Called when the event loop has ended; may be called from any thread.
     */
    public void close() {
        closed = true;
    }

    /** The next event, or null if there is none; only on the event loop's thread. */
    Event poll() {
        return queue.poll();
    }

    /**
     * Waits until an event is put or the time has passed; may return early. Only on the event
     * loop's thread.
     */
    void await(long nanos) {
        consumer = Thread.currentThread();
        consumerWaiting = true;
        // Looked at after the flag is set: a producer either sees the flag or is seen here.
        if (queue.isEmpty() && nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
        consumerWaiting = false;
    }
}
