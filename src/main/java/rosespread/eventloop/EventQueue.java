package rosespread.eventloop;

import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * What I/O threads bring to the decision thread, without a lock. It is bounded: over half full,
 * reports are dropped and counted, as newer ones follow; all else waits for room on the thread that
 * brings it, which holds back its sockets.
 */
public final class EventQueue {
    /** Runs on the decision thread. */
    @FunctionalInterface
    public interface Event {
        void handle(long now);
    }

    private static final int CAPACITY = 1 << 16;
    private static final long OFFER_RETRY_NANOS = 100_000L;

    private final MpscArrayQueue<Event> queue = new MpscArrayQueue<>(CAPACITY);
    private final LongAdder droppedReports = new LongAdder();
    private volatile Thread consumer;
    private volatile boolean consumerWaiting;
    private volatile boolean closed;

    public void put(Event event) {
        while (!closed && !queue.offer(event)) {
            LockSupport.parkNanos(OFFER_RETRY_NANOS);
        }
        wakeConsumer();
    }

    public void putReport(Event event) {
        if (!queue.offerIfBelowThreshold(event, CAPACITY / 2)) {
            droppedReports.increment();
        }
        wakeConsumer();
    }

    private void wakeConsumer() {
        if (consumerWaiting) {
            LockSupport.unpark(consumer);
        }
    }

    public long droppedReports() {
        return droppedReports.sum();
    }

    /** Nothing is taken any more; those who wait for room go on. */
    public void close() {
        closed = true;
    }

    Event poll() {
        return queue.poll();
    }

    /** Waits on the decision thread until something comes or the time is over. */
    void await(long nanos) {
        consumer = Thread.currentThread();
        consumerWaiting = true;
        if (queue.isEmpty() && nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
        consumerWaiting = false;
    }
}
