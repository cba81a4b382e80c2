package rosespread.platform;

import java.util.List;
import org.apache.mina.core.session.IoSession;
import rosespread.api.ProxyId;
import rosespread.resp.RespCodec;
import rosespread.resp.RespLimits;
import rosespread.resp.RespWriter;

/**
 * An accepted connection and the role of its peer. Only the connection's I/O thread changes its
 * state; any thread may write to it and close it.
 */
final class PeerConnection implements ProxyConnection {
    /** The role of the peer. */
    enum Role {
        /** The peer has not joined yet. */
        UNIDENTIFIED,
        COLLECTOR,
        PROXY,
        /** The peer was sent a rejection; its further messages are ignored. */
        REJECTED
    }

    /** Limits on a message before the peer has joined. */
    static final RespLimits UNIDENTIFIED_LIMITS = new RespLimits(4 << 10, 64);

    private static final RespLimits JOINED_LIMITS = new RespLimits(1 << 20, 256);

    private final IoSession session;
    private final long openedNanos;
    private volatile Role role = Role.UNIDENTIFIED;
    private ProxyId proxy;

    PeerConnection(IoSession session, long openedNanos) {
        this.session = session;
        this.openedNanos = openedNanos;
    }

    /** When the connection was opened, in nanoseconds of {@link System#nanoTime()}. */
    long openedNanos() {
        return openedNanos;
    }

    Role role() {
        return role;
    }

    /** The joined proxy; null if no proxy joined on this connection. */
    ProxyId proxy() {
        return proxy;
    }

    /** Whether this proxy joined on this connection. */
    boolean isOf(ProxyId other) {
        return other.equals(proxy);
    }

    void joinAsCollector() {
        join(Role.COLLECTOR);
    }

    void joinAsProxy(ProxyId joined) {
        proxy = joined;
        join(Role.PROXY);
    }

    private void join(Role joined) {
        role = joined;
        RespCodec.setLimits(session, JOINED_LIMITS);
    }

    /**
     * Sends the reason, then closes the connection. Further messages are not read, and messages
     * read already are ignored.
     */
    void reject(String reason) {
        role = Role.REJECTED;
        session.suspendRead();
        write(RespWriter.encode(List.of("reject", "reason", reason)));
        session.closeOnFlush();
    }

    @Override
    public void write(byte[] message) {
        session.write(message);
    }

    @Override
    public long writeBufferBytes() {
        return session.getScheduledWriteBytes();
    }

    @Override
    public void close() {
        session.closeNow();
    }
}
