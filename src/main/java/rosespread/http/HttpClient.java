package rosespread.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import rosespread.codec.ByteBudget;

/**
 * An HTTP/1.1 client with persistent connections that carry one request at a time. Every call ends
 * in exactly one outcome.
 *
 * <p>A server may close an idle connection while a request is being written on it. A request with a
 * safe method (GET, HEAD) is then resent once, on a new connection and within the same timeout, as
 * RFC 9110, 9.2.2 allows; any other request fails with {@link Failure#BROKEN}.
 *
 * <p>Thread-safe.
 */
public final class HttpClient implements AutoCloseable {
    /** The reason why a call has no response. */
    public enum Failure {
        /** No connection was made and no byte was written, so the call certainly never ran. */
        NOT_CONNECTED,
        /** The connection broke after the request may have been written. */
        BROKEN,
        /** The timeout passed, or the caller cancelled. */
        TIMED_OUT,
        /** The response is not acceptable HTTP/1.1. */
        MALFORMED
    }

    /**
     * Receives the outcome of a call: exactly one method is called, once, on an I/O thread, the
     * timer's thread or the caller's. The method must not block.
     */
    public interface ResponseHandler {
        /** Called with the complete response, whatever its status. */
        void onResponse(HttpMessage.Response response);

        /**
         * Called if there is no response.
         *
         * @param detail a sentence for logs
         */
        void onFailure(Failure failure, String detail);
    }

    private final NioSocketConnector connector;
    private final ScheduledThreadPoolExecutor timer;
    private final IdleConnections idleConnections = new IdleConnections();

    /**
     * Starts a client.
     *
     * @param threads I/O threads
     * @param limits the limits on each response
     * @param connectMillis timeout of a connection attempt, in milliseconds
     * @param idleSeconds how long an unused connection is kept, in seconds
     */
    public HttpClient(int threads, HttpLimits limits, int connectMillis, int idleSeconds) {
        connector = new NioSocketConnector(threads);
        connector.setConnectTimeoutMillis(connectMillis);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getSessionConfig().setIdleTime(IdleStatus.BOTH_IDLE, idleSeconds);
        HttpCodec codec = new HttpCodec(HttpParser.Mode.RESPONSES, limits, ByteBudget.unlimited());
        connector.getFilterChain().addLast("http", new ProtocolCodecFilter(codec));
        connector.setHandler(new ConnectionEvents());
        timer = new ScheduledThreadPoolExecutor(1, HttpClient::timerThread);
        timer.setRemoveOnCancelPolicy(true);
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "http-timer");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Makes a call. A call that times out or is cancelled closes its connection, so that the server
     * can stop working on the request.
     *
     * @param timeoutNanos time until the response must be complete, in nanoseconds, connection
     *     attempt included
     * @return an action that cancels the call with {@link Failure#TIMED_OUT}; no effect after an
     *     outcome
     * @throws java.util.concurrent.RejectedExecutionException if the client is closed
     */
    public Runnable call(
            InetSocketAddress address,
            HttpMessage.Request request,
            long timeoutNanos,
            ResponseHandler handler) {
        ClientExchange exchange =
                new ClientExchange(address, request, handler, idleConnections, this::connect);
        exchange.timeout(
                timer.schedule(
                        () -> timeOut(exchange, timeoutNanos), timeoutNanos, TimeUnit.NANOSECONDS));
        Optional<IoSession> idle = idleConnections.take(address);
        if (idle.isPresent()) {
            exchange.sendOnReused(idle.get());
        } else {
            connect(exchange);
        }
        return () -> exchange.fail(Failure.TIMED_OUT, "cancelled");
    }

    private static void timeOut(ClientExchange exchange, long timeoutNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(timeoutNanos);
        exchange.fail(Failure.TIMED_OUT, "no answer within " + millis + " ms");
    }

    private void connect(ClientExchange exchange) {
        connector
                .connect(exchange.address())
                .addListener(future -> connected((ConnectFuture) future, exchange));
    }

    private static void connected(ConnectFuture attempt, ClientExchange exchange) {
        if (attempt.isConnected()) {
            exchange.send(attempt.getSession());
        } else {
            exchange.fail(
                    Failure.NOT_CONNECTED,
                    "no connection to " + exchange.address() + ": " + attempt.getException());
        }
    }

    /** The number of addresses with at least one idle connection. */
    int idleAddressCount() {
        return idleConnections.addressCount();
    }

    /** Closes all connections and stops the threads. Calls still pending may get no outcome. */
    @Override
    public void close() {
        timer.shutdownNow();
        connector.getManagedSessions().values().forEach(IoSession::closeNow);
        connector.dispose();
    }

    /** Passes connection events to the connection's exchange; runs on the I/O threads. */
    private final class ConnectionEvents extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            ClientExchange exchange = ClientExchange.of(session);
            if (exchange == null) {
                session.closeNow();
            } else {
                exchange.complete((HttpMessage.Response) message);
            }
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            if (ClientExchange.of(session) == null) {
                session.closeNow();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            idleConnections.remove(session);
            ClientExchange exchange = ClientExchange.of(session);
            if (exchange != null) {
                exchange.connectionLost(session, "the connection closed before the response");
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            ClientExchange exchange = ClientExchange.of(session);
            if (exchange != null) {
                Optional<HttpException> malformed = HttpException.findIn(cause);
                if (malformed.isPresent()) {
                    exchange.fail(Failure.MALFORMED, malformed.get().getMessage());
                } else {
                    exchange.connectionLost(session, rootCause(cause).getMessage());
                }
            }
            session.closeNow();
        }

        private static Throwable rootCause(Throwable thrown) {
            Throwable root = thrown;
            while (root.getCause() != null) {
                root = root.getCause();
            }
            return root;
        }
    }
}
