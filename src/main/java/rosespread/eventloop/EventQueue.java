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

    private static final int ROOM = 1 << 16;
    private static final long PAUSE = 100_000L;

    private final MpscArrayQueue<Event> queue = new MpscArrayQueue<>(ROOM);
    private final LongAdder dropped = new LongAdder();
    private volatile Thread reader;
    private volatile boolean sleeping;
    private volatile boolean closed;

    public void put(Event event) {
        while (!closed && !queue.offer(event)) {
            LockSupport.parkNanos(PAUSE);
        }
        wake();
    }

    public void putReport(Event event) {
        if (!queue.offerIfBelowThreshold(event, ROOM / 2)) {
            dropped.increment();
        }
        wake();
    }

    private void wake() {
        if (sleeping) {
            LockSupport.unpark(reader);
        }
    }

    public long droppedReports() {
        return dropped.sum();
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
        reader = Thread.currentThread();
        sleeping = true;
        if (queue.isEmpty() && nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
        sleeping = false;
    }
}
