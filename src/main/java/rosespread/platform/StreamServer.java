package rosespread.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.SocketSessionConfig;
import rosespread.eventloop.EventQueue;
import rosespread.resp.RespCodec;

/**
 * Where proxies and collectors connect, and others too. A connection that has not joined may hold
 * little and not for long; near the limit of connections the oldest of these is evicted, so that a
 * proxy always finds room. Any thread may call it.
 */
final class StreamServer implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int READ_BUFFER_BYTES = 2048;
    private static final int MAX_READ_BUFFER_BYTES = 8192;

    private final UnidentifiedConnections unidentified;
    private final BoundedAcceptor acceptor;

    /**
     * Prepares the server; it accepts nothing before {@link #listen}.
     *
     * @param maxConnections how many connections may be open at once
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
        acceptor.getFilterChain()
                .addLast(
                        "resp",
                        new ProtocolCodecFilter(new RespCodec(PeerConnection.UNIDENTIFIED_LIMITS)));
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
     * @return the address in use, with the port that was given where 0 was asked for
     * @throws IOException if the address can't be bound
     */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        return acceptor.getLocalAddress();
    }

    /** Sets how many connections may be open at once; none is closed that is open now. */
    void setMaxConnections(int max) {
        acceptor.setMaxConnections(max);
    }

    int openConnections() {
        return acceptor.openConnections();
    }

    /** The most bytes that one peer has not read yet. */
    long maxWriteBufferBytes() {
        return acceptor.getManagedSessions().values().stream()
                .mapToLong(IoSession::getScheduledWriteBytes)
                .max()
                .orElse(0);
    }

    /** Closes connections that had their time to join. */
    void closeOverdue(long now) {
        unidentified.closeOverdue(now);
    }

    @Override
    public void close() {
        acceptor.unbind();
        acceptor.dispose(false);
    }
}
