package rosespread.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import rosespread.eventloop.EventQueue;
import rosespread.resp.RespCodec;

/**
 * Listens for connections of proxies and collectors; unknown peers may connect too. A connection
 * that has not joined is limited in memory and time. Near the limit on connections, the oldest
 * connection that has not joined is evicted, so that a proxy can always connect. Any thread may
 * call it.
 */
final class StreamServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int READ_BUFFER_BYTES = 2048;
    private static final int MAX_READ_BUFFER_BYTES = 8192;

    private final UnidentifiedConnections unidentified;
    private final BoundedAcceptor acceptor;

    /**
     * Creates the server; it accepts no connection before {@link #listen}.
     *
     * @param maxConnections the maximum number of open connections
     */
    StreamServer(
            EventQueue events,
            PlatformState state,
            MessageReader reader,
            PlatformMetrics metrics,
            int maxConnections) {
        unidentified = new UnidentifiedConnections(metrics);
        acceptor = new BoundedAcceptor(unidentified, metrics, maxConnections);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        configure(acceptor.getSessionConfig());
        new RespCodec(PeerConnection.UNIDENTIFIED_LIMITS)
                .addServerFilters(acceptor.getFilterChain());
        acceptor.setHandler(new PeerMessageHandler(events, state, reader, metrics, unidentified));
    }

    private static void configure(SocketSessionConfig sessions) {
        sessions.setTcpNoDelay(true);
        sessions.setReadBufferSize(READ_BUFFER_BYTES);
        sessions.setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
    }

    /**
     * Accepts connections from now on.
     *
     * @return the bound address, with the assigned port if port 0 was requested
     * @throws IOException if the address can't be bound
     */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        return acceptor.getLocalAddress();
    }

    /** Sets the maximum number of open connections; connections open now are not closed. */
    void setMaxConnections(int max) {
        acceptor.setMaxConnections(max);
    }

    int openConnections() {
        return acceptor.openConnections();
    }

    /** The most bytes queued for one peer. */
    long maxWriteBufferBytes() {
        return acceptor.getManagedSessions().values().stream()
                .mapToLong(IoSession::getScheduledWriteBytes)
                .max()
                .orElse(0);
    }

    /** Closes connections that have not joined within the join timeout. */
    void closeOverdue(long now) {
        unidentified.closeOverdue(now);
    }

    @Override
    public void close() {
        acceptor.unbind();
        acceptor.dispose(false);
    }
}
