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
 * Accepts no connection over the limit: it waits in the backlog until one that has not joined was
 * evicted. So descriptors never run out, and accepting neither fails nor spins.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
    private static final int IO_THREADS = 1;
    private static final long PAUSE_NANOS = 2_000_000L;

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
            makeRoom();
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

    private void makeRoom() {
        unidentified.evictOldest();
        LockSupport.parkNanos(PAUSE_NANOS);
    }

    /**
     * MINA's acceptor sleeps for a second when accepting throws. Guards against one peer that is
     * gone before it was accepted, or descriptors that lack for a moment, holding up all that join.
     */
    private NioSession acceptOrEvict(IoProcessor<NioSession> processor, ServerSocketChannel handle)
            throws Exception {
        try {
            return super.accept(processor, handle);
        } catch (IOException | RuntimeException e) {
            metrics.increment(ConnectionEvent.ACCEPT_FAILED);
            makeRoom();
            return null;
        }
    }
}
