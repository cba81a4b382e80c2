package rosespread.controller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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
 * The proxies' side of the controller's sockets: turns what happens there into events of the event
 * loop.
 *
 * <p>Its handler runs on MINA's I/O threads and only enqueues. Load and demand reports may be
 * dropped while the queue is too full; for other events the I/O thread waits.
 */
final class ChannelServer implements AutoCloseable {
    private static final String SESSION_ATTRIBUTE = "session";
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long CLOSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final NioSocketAcceptor acceptor;
    private final EventQueue queue;
    private final ControllerState state;

    /** Links a socket to its session; read and written on the event-loop thread only. */
    private static final class SessionHolder {
        private ProxySession session;
    }

    /**
     * @param threads the number of I/O threads
     */
    ChannelServer(int threads, EventQueue queue, ControllerState state) {
        this.queue = queue;
        this.state = state;
        acceptor = new NioSocketAcceptor(threads);
        acceptor.setReuseAddress(true);
        // Unbinding would close all streams at once, and proxies could not get the reason.
        acceptor.setCloseOnDeactivation(false);
        acceptor.setBacklog(ACCEPT_BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getFilterChain()
                .addLast(
                        "frames",
                        new ProtocolCodecFilter(
                                new ChannelCodec(FrameReader.MAX_BYTES_FROM_PROXY, 0)));
        acceptor.setHandler(new FrameHandler());
    }

    /** Listens for proxies; returns the address. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        return acceptor.getLocalAddress();
    }

    /** Closes all streams; what was written leaves first if the peer reads it in time. */
    @Override
    public void close() {
        acceptor.unbind();
        List<CloseFuture> closing =
                acceptor.getManagedSessions().values().stream()
                        .map(IoSession::closeOnFlush)
                        .toList();
        long deadline = System.nanoTime() + CLOSE_TIMEOUT_NANOS;
        for (CloseFuture future : closing) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            future.awaitUninterruptibly(Math.max(1, leftMillis));
        }
        acceptor.dispose(false);
    }

    private static final class SocketTransport implements ProxySession.Transport {
        private final IoSession socket;
        private final String remoteAddress;

        SocketTransport(IoSession socket) {
            this.socket = socket;
            this.remoteAddress = String.valueOf(socket.getRemoteAddress());
        }

        @Override
        public void write(byte[] frames) {
            socket.write(frames);
        }

        @Override
        public long writeBufferBytes() {
            return socket.getScheduledWriteBytes();
        }

        /** A peer that does not read would never take the reason: it is closed without. */
        @Override
        public void close(Frame.Reason reason, String text) {
            if (reason == Frame.Reason.SLOW
                    || reason == Frame.Reason.SILENT
                    || !socket.isConnected()) {
                socket.closeNow();
            } else {
                socket.write(new Frame.Close(reason, text));
                socket.closeOnFlush();
            }
        }

        @Override
        public String remoteAddress() {
            return remoteAddress;
        }
    }

    private final class FrameHandler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession socket) {
            SessionHolder holder = new SessionHolder();
            socket.setAttribute(SESSION_ATTRIBUTE, holder);
            ProxySession.Transport transport = new SocketTransport(socket);
            queue.put(now -> holder.session = state.sessionOpened(now, transport));
        }

        @Override
        public void messageReceived(IoSession socket, Object message) {
            SessionHolder holder = holder(socket);
            Frame frame = (Frame) message;
            EventQueue.Event event = now -> state.frameReceived(now, holder.session, frame);
            if (frame instanceof Frame.Sums || frame instanceof Frame.Offered) {
                queue.putReport(event);
            } else {
                queue.put(event);
            }
        }

        @Override
        public void sessionClosed(IoSession socket) {
            SessionHolder holder = holder(socket);
            queue.put(now -> state.sessionClosed(now, holder.session));
        }

        @Override
        public void exceptionCaught(IoSession socket, Throwable cause) {
            SessionHolder holder = holder(socket);
            Optional<FrameException> violation = violation(cause);
            if (holder == null || violation.isEmpty()) {
                socket.closeNow();
                return;
            }
            FrameException e = violation.get();
            socket.suspendRead();
            queue.put(
                    now -> state.protocolViolated(now, holder.session, e.reason(), e.getMessage()));
        }

        private static SessionHolder holder(IoSession socket) {
            return (SessionHolder) socket.getAttribute(SESSION_ATTRIBUTE);
        }

        /** Returns what the decoder threw, which MINA wraps. */
        private static Optional<FrameException> violation(Throwable thrown) {
            for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
                if (cause instanceof FrameException e) {
                    return Optional.of(e);
                }
            }
            return Optional.empty();
        }
    }
}
