package rosespread.platform;

import org.apache.mina.core.session.IoSession;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** One connection and who is at its other end. Written by its I/O thread only. */
final class PeerConnection implements ProxyConnection {
    enum Role {
        STRANGER,
        COLLECTOR,
        PROXY,
        REJECTED
    }

    final IoSession session;
    final long openedAt;
    volatile Role role = Role.STRANGER;
    ZoneId zone;
    ProxyId proxy;

    PeerConnection(IoSession session, long openedAt) {
        this.session = session;
        this.openedAt = openedAt;
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
