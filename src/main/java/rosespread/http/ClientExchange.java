package rosespread.http;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/**
 * One request of the client and its single outcome: the first of response, failure, timeout and
 * cancellation. Thread-safe: outcomes come from I/O threads, the timer and the caller.
 */
final class ClientExchange {
    /** Methods without effect on the server (RFC 9110, 9.2.1); their requests may be resent. */
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    private static final AttributeKey EXCHANGE = new AttributeKey(ClientExchange.class, "exchange");

    private final InetSocketAddress address;
    private final HttpMessage.Request request;
    private final HttpClient.ResponseHandler handler;
    private final IdleConnections idleConnections;
    private final Consumer<ClientExchange> connector;
    private final AtomicBoolean completed = new AtomicBoolean();
    private volatile IoSession session;
    private volatile Future<?> timeout;

    /** Whether the request is resent if its reused connection breaks. */
    private volatile boolean retryable;

    /**
     * @param idleConnections receives the connection after a response that permits its reuse
     * @param connector opens a new connection and calls {@link #send} or {@link #fail}
     */
    ClientExchange(
            InetSocketAddress address,
            HttpMessage.Request request,
            HttpClient.ResponseHandler handler,
            IdleConnections idleConnections,
            Consumer<ClientExchange> connector) {
        this.address = address;
        this.request = request;
        this.handler = handler;
        this.idleConnections = idleConnections;
        this.connector = connector;
    }

    /** The current exchange of a connection; null if the connection is idle. */
    static ClientExchange of(IoSession session) {
        return (ClientExchange) session.getAttribute(EXCHANGE);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sets the timer task that is cancelled once there is an outcome. */
    void timeout(Future<?> timer) {
        timeout = timer;
    }

    /**
     * Sends the request on a reused connection, which the server may be about to close; a request
     * with a safe method is then resent once.
     */
    void sendOnReused(IoSession reused) {
        retryable = SAFE_METHODS.contains(request.method());
        send(reused);
    }

    /** Sends the request, or closes the connection if there is an outcome already. */
    void send(IoSession connection) {
        session = connection;
        connection.setAttribute(EXCHANGE, this);
        if (completed.get()) {
            connection.closeNow();
            return;
        }
        connection.write(request);
        if (connection.isClosing()) {
            connectionLost(connection, "the connection closed while the request was written");
        }
    }

    /**
     * Handles the loss of a connection: opens a new connection for a retryable request, and fails
     * any other. Ignored unless {@code connection} is the current connection, so a repeated call
     * has no effect.
     */
    void connectionLost(IoSession connection, String detail) {
        if (!connection.equals(session)) {
            return;
        }
        boolean retry;
        synchronized (this) {
            retry = retryable && !completed.get();
            retryable = false;
            session = retry ? null : session;
        }
        if (retry) {
            connection.removeAttribute(EXCHANGE);
            connection.closeNow();
            connector.accept(this);
        } else {
            fail(HttpClient.Failure.BROKEN, detail);
        }
    }

    /**
     * Ends the exchange with a response, which the handler receives. The connection is kept for
     * reuse if the response permits it, else closed. Ignored after an earlier outcome.
     */
    void complete(HttpMessage.Response response) {
        if (!completed.compareAndSet(false, true)) {
            return;
        }
        timeout.cancel(false);
        session.removeAttribute(EXCHANGE);
        if (response.keepsAlive()) {
            idleConnections.put(address, session);
        } else {
            session.closeNow();
        }
        handler.onResponse(response);
    }

    /**
     * Ends the exchange with a failure, which the handler receives, and closes the connection, so
     * that the server can stop its work. Ignored after an earlier outcome.
     */
    void fail(HttpClient.Failure failure, String detail) {
        if (!completed.compareAndSet(false, true)) {
            return;
        }
        Future<?> timer = timeout;
        if (timer != null) {
            timer.cancel(false);
        }
        IoSession connection = session;
        if (connection != null) {
            connection.closeNow();
        }
        handler.onFailure(failure, detail);
    }
}
