package rosespread.controller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.apache.mina.core.future.CloseFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import rosespread.channel.ChannelCodec;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;
import rosespread.eventloop.EventQueue;

/**
 * The proxies' side of the conductor's sockets: turns what happens there into events for the inbox.
 */
final class ChannelServer implements AutoCloseable {
    private static final String LINK = "link";
    private static final int CLOSE_MILLIS = 500;

    private final NioSocketAcceptor acceptor;
    private final EventQueue inbox;
    private final ControllerState core;

    /** Filled in on the decision thread, read there only. */
    private static final class Holder {
        private ProxySession link;
    }

    ChannelServer(int threads, EventQueue inbox, ControllerState core) {
        this.inbox = inbox;
        this.core = core;
        acceptor = new NioSocketAcceptor(threads);
        acceptor.setReuseAddress(true);
        // Else unbinding closes all streams at once, and a proxy may not be told why.
        acceptor.setCloseOnDeactivation(false);
        acceptor.setBacklog(1024);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getFilterChain()
                .addLast(
                        "frames",
                        new ProtocolCodecFilter(new ChannelCodec(FrameReader.MAX_BYTES_FROM_PROXY, 0)));
        acceptor.setHandler(new Sessions());
    }

    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        return acceptor.getLocalAddress();
    }

    /**
     * What was written before, such as why it closes, leaves first if the peer reads it in time.
     */
    @Override
    public void close() {
        acceptor.unbind();
        List<CloseFuture> closing =
                acceptor.getManagedSessions().values().stream()
                        .map(IoSession::closeOnFlush)
                        .toList();
        long until = System.nanoTime() + CLOSE_MILLIS * 1_000_000L;
        for (CloseFuture each : closing) {
            each.awaitUninterruptibly(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        acceptor.dispose(false);
    }

    private static final class SessionWire implements ProxySession.Transport {
        private final IoSession session;
        private final String remote;

        SessionWire(IoSession session) {
            this.session = session;
            this.remote = String.valueOf(session.getRemoteAddress());
        }

        @Override
        public void write(byte[] frames) {
            session.write(frames);
        }

        @Override
        public long unwritten() {
            return session.getScheduledWriteBytes();
        }

        /** A peer that does not read would never take the reason: it is closed without. */
        @Override
        public void close(Frame.Reason reason, String text) {
            if (reason == Frame.Reason.SLOW
                    || reason == Frame.Reason.SILENT
                    || !session.isConnected()) {
                session.closeNow();
            } else {
                session.write(new Frame.Close(reason, text));
                session.closeOnFlush();
            }
        }

        @Override
        public String remote() {
            return remote;
        }
    }

    private final class Sessions extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            Holder holder = new Holder();
            session.setAttribute(LINK, holder);
            ProxySession.Transport wire = new SessionWire(session);
            inbox.put(now -> holder.link = core.opened(now, wire));
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            Holder holder = (Holder) session.getAttribute(LINK);
            Frame frame = (Frame) message;
            EventQueue.Event event = now -> core.frame(now, holder.link, frame);
            if (frame instanceof Frame.Sums || frame instanceof Frame.Offered) {
                inbox.putReport(event);
            } else {
                inbox.put(event);
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            Holder holder = (Holder) session.getAttribute(LINK);
            inbox.put(now -> core.closed(now, holder.link));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            Holder holder = (Holder) session.getAttribute(LINK);
            for (Throwable at = cause; at != null && holder != null; at = at.getCause()) {
                if (at instanceof FrameException e) {
                    session.suspendRead();
                    inbox.put(now -> core.garbled(now, holder.link, e.reason(), e.getMessage()));
                    return;
                }
            }
            session.closeNow();
        }
    }
}
