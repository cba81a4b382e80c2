package rosespread.platform;

import java.util.List;
import org.apache.mina.core.session.IoSession;
import rosespread.api.ProxyId;
import rosespread.resp.RespCodec;
import rosespread.resp.RespLimits;
import rosespread.resp.RespWriter;

/**
 * One accepted connection and who is at its other end. Its I/O thread alone changes it; any thread
 * may write to it and close it.
 */
final class PeerConnection implements ProxyConnection {
    /** Who is at the other end. */
    enum Role {
        /** It has not joined yet. */
        UNIDENTIFIED,
        COLLECTOR,
        PROXY,
        /** It was sent a rejection; nothing that it sends counts. */
        REJECTED
    }

    /** Bounds of a message before joining. */
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

    /** When it was opened, in nanoseconds of {@link System#nanoTime()}. */
    long openedNanos() {
        return openedNanos;
    }

    Role role() {
        return role;
    }

    /** The joined proxy; null if this is not one's connection. */
    ProxyId proxy() {
        return proxy;
    }

    /** Whether it is the connection of this proxy. */
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

    /** Sends the reason, then closes; what still comes is not read, nor used if it came along. */
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
