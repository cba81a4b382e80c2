package rosespread.controller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.future.CloseFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import rosespread.channel.ChannelCodec;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.eventloop.EventQueue;

/**
 * Accepts streams of proxies and turns opened and closed streams, received frames and protocol
 * violations into events of the event loop.
 *
 * <p>The handler runs on MINA's I/O threads and only adds events to the event loop's queue. Load
 * and demand reports are dropped while the queue is half full or more; for other events the I/O
 * thread waits while the queue is full.
 */
final class ChannelServer implements AutoCloseable {
    private static final String SESSION_ATTRIBUTE = "session";
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_READ_BUFFER_BYTES = 8 << 10;
    private static final long CLOSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final NioSocketAcceptor acceptor;
    private final EventQueue queue;
    private final ControllerState state;

    /** Holds the session of a socket; read and written on the event-loop thread only. */
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
        // Otherwise unbinding closes all streams at once, before proxies receive the close reason.
        acceptor.setCloseOnDeactivation(false);
        acceptor.setBacklog(ACCEPT_BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        ChannelCodec.forController().addServerFilters(acceptor.getFilterChain());
        acceptor.setHandler(new FrameHandler());
    }

    /** Starts to listen for proxies; returns the bound address. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        return acceptor.getLocalAddress();
    }

    /**
     * Stops listening and closes all streams. Frames already written are flushed first, as far as
     * the peers read them within the close timeout, which limits the wait for all streams together.
     */
    @Override
    public void close() {
        acceptor.unbind();
        List<CloseFuture> closeFutures =
                acceptor.getManagedSessions().values().stream()
                        .map(IoSession::closeOnFlush)
                        .toList();
        long deadline = System.nanoTime() + CLOSE_TIMEOUT_NANOS;
        for (CloseFuture future : closeFutures) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            future.awaitUninterruptibly(Math.max(1, remainingMillis));
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

        /**
         * Closes the stream, after a Close frame with the reason. A slow or silent peer gets no
         * frame, as it would not read it.
         */
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
            Optional<FrameException> frameException = frameException(cause);
            if (holder == null || frameException.isEmpty()) {
                socket.closeNow();
                return;
            }
            FrameException e = frameException.get();
            socket.suspendRead();
            queue.put(
                    now -> state.protocolViolated(now, holder.session, e.reason(), e.getMessage()));
        }

        private static SessionHolder holder(IoSession socket) {
            return (SessionHolder) socket.getAttribute(SESSION_ATTRIBUTE);
        }

        /** Returns the decoder's exception, which MINA wraps; empty for any other failure. */
        private static Optional<FrameException> frameException(Throwable thrown) {
            for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
                if (cause instanceof FrameException e) {
                    return Optional.of(e);
                }
            }
            return Optional.empty();
        }
    }
}
