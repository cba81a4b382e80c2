package rosespread.platform;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import rosespread.platform.PlatformMetrics.ConnectionEvent;

/**
 * Accepts connections up to a limit. At the limit, a new connection waits in the listen backlog
 * until a connection that has not joined is evicted. So the process does not run out of
 * descriptors, and accepting neither fails nor busy-loops.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
    private static final int IO_THREADS = 1;
    private static final long PAUSE_AFTER_EVICTION_NANOS = 2_000_000L;

    private final UnidentifiedConnections unidentified;
    private final PlatformMetrics metrics;
    private final AtomicInteger open = new AtomicInteger();
    private volatile int maxConnections;

    BoundedAcceptor(
            UnidentifiedConnections unidentified, PlatformMetrics metrics, int maxConnections) {
        super(IO_THREADS);
        this.unidentified = unidentified;
        this.metrics = metrics;
        this.maxConnections = maxConnections;
    }

    void setMaxConnections(int max) {
        maxConnections = max;
    }

    int openConnections() {
        return open.get();
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
            throws Exception {
        if (isFull()) {
            evictOldestAndPause();
            if (isFull()) {
                return null;
            }
        }
        NioSession session = acceptOrEvict(processor, handle);
        if (session != null) {
            open.incrementAndGet();
            session.getCloseFuture().addListener(future -> open.decrementAndGet());
        }
        return session;
    }

    private boolean isFull() {
        return open.get() >= maxConnections;
    }

    private void evictOldestAndPause() {
        unidentified.evictOldest();
        LockSupport.parkNanos(PAUSE_AFTER_EVICTION_NANOS);
    }

    /**
     * Accepts a connection; if accepting fails, evicts the oldest unidentified connection instead.
     * MINA's acceptor sleeps for one second when accepting throws. Without the catch, a peer that
     * disconnects before it is accepted, or a brief shortage of descriptors, would delay all peers
     * that join.
     */
    private NioSession acceptOrEvict(IoProcessor<NioSession> processor, ServerSocketChannel handle)
            throws Exception {
        try {
            return super.accept(processor, handle);
        } catch (IOException | RuntimeException e) {
            metrics.increment(ConnectionEvent.ACCEPT_FAILED);
            evictOldestAndPause();
            return null;
        }
    }
}
