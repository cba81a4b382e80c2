package rosespread.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Optional;
import java.util.Set;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import rosespread.codec.ByteBudget;

/**
 * An HTTP/1.1 server on any number of addresses. The requests of a connection are handled one after
 * another, so that responses keep their order; {@link RequestPipeline} limits how many may wait.
 * The requests of all connections together, incomplete or waiting, are limited by a budget, and so
 * are the responses that clients have not read. A request that is not acceptable HTTP is answered
 * with the status of its {@link HttpException}, and its connection is closed.
 *
 * <p>Thread-safe.
 */
public final class HttpServer implements AutoCloseable {
    /** Receives requests. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Handles a request. Called on an I/O thread, or on the thread that answered the
         * connection's previous request; must not block. The response may be given later, from any
         * thread.
         */
        void handle(HttpMessage.Request request, Exchange exchange);
    }

    /** A request that awaits its response. Thread-safe. */
    public interface Exchange {
        /** The local port on which the request arrived. */
        int port();

        /** Sends the response; ignored after the first call and once the connection is closed. */
        void respond(HttpMessage.Response response);

        /** Whether the connection is closed, so that nobody awaits the response. */
        boolean isClosed();

        /** Closes the connection without a response. */
        void abort();

        /**
         * Sets an action that runs once if the connection closes before the response; runs the
         * action at once if the connection is already closed. The action runs on an I/O thread or
         * the caller's.
         */
        void onClosed(Runnable action);
    }

    private static final int BACKLOG = 1024;
    private static final int IDLE_SECONDS = 60;
    private static final int MAX_READ_BUFFER_BYTES = 8 << 10;
    private static final AttributeKey PIPELINE = new AttributeKey(HttpServer.class, "pipeline");

    private final NioSocketAcceptor acceptor;
    private final Handler handler;
    private final ByteBudget requestBudget = ByteBudget.shared();

    /**
     * Creates a server that does not yet listen on any address.
     *
     * @param threads I/O threads besides the one that accepts
     * @param limits the limits on each request
     */
    public HttpServer(int threads, HttpLimits limits, Handler handler) {
        this.handler = handler;
        acceptor = new NioSocketAcceptor(threads);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.setCloseOnDeactivation(false);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setIdleTime(IdleStatus.READER_IDLE, IDLE_SECONDS);
        acceptor.getSessionConfig().setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        HttpCodec codec = new HttpCodec(HttpParser.Mode.REQUESTS, limits, requestBudget);
        codec.addServerFilters(acceptor.getFilterChain());
        acceptor.setHandler(new ConnectionEvents());
    }

    /**
     * Starts listening on one more address; port 0 selects a free port.
     *
     * @return the address with the port in use
     * @throws IOException if the address cannot be bound
     */
    public synchronized InetSocketAddress listen(InetSocketAddress address) throws IOException {
        if (address.getPort() != 0) {
            acceptor.bind(address);
            return address;
        }
        Set<SocketAddress> before = acceptor.getLocalAddresses();
        acceptor.bind(address);
        Set<SocketAddress> added = acceptor.getLocalAddresses();
        added.removeAll(before);
        return (InetSocketAddress) added.iterator().next();
    }

    /** Stops listening on an address and resets its connections, as if its process had died. */
    public synchronized void drop(InetSocketAddress address) {
        acceptor.unbind(address);
        for (IoSession session : acceptor.getManagedSessions().values()) {
            if (((InetSocketAddress) session.getLocalAddress()).getPort() == address.getPort()) {
                session.closeNow();
            }
        }
    }

    /** Number of open connections. */
    public int openConnections() {
        return acceptor.getManagedSessionCount();
    }

    /** Closes all connections and stops the I/O threads. */
    @Override
    public void close() {
        acceptor.getManagedSessions().values().forEach(IoSession::closeNow);
        acceptor.dispose();
    }

    private static Optional<RequestPipeline> pipeline(IoSession session) {
        return Optional.ofNullable((RequestPipeline) session.getAttribute(PIPELINE));
    }

    /** Passes connection events to the connection's pipeline; runs on the I/O threads. */
    private final class ConnectionEvents extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            session.setAttribute(PIPELINE, new RequestPipeline(session, handler, requestBudget));
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            pipeline(session).orElseThrow().receive((HttpMessage.Request) message);
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            if (pipeline(session).orElseThrow().isIdle()) {
                session.closeNow();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            pipeline(session).ifPresent(RequestPipeline::connectionClosed);
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            Optional<HttpException> malformed = HttpException.findIn(cause);
            if (malformed.isEmpty() || !session.isConnected()) {
                session.closeNow();
                return;
            }
            session.write(
                    HttpMessage.Response.of(
                            malformed.get().status(),
                            "text/plain",
                            malformed.get().getMessage() + "\n"));
            session.closeOnFlush();
        }
    }
}
