package rosespread.http;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/**
 * One request of the client and its single outcome, whichever of response, failure, timeout and
 * cancellation comes first. Thread-safe: these come from I/O threads, the timer and the caller.
 */
final class ClientExchange {
    /** Methods that have no effect on the server (RFC 9110, 9.2.1), so may be sent again. */
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    private static final AttributeKey EXCHANGE = new AttributeKey(ClientExchange.class, "exchange");

    private final InetSocketAddress address;
    private final HttpMessage.Request request;
    private final HttpClient.ResponseHandler taker;
    private final IdleConnections idleConnections;
    private final Consumer<ClientExchange> connector;
    private final AtomicBoolean completed = new AtomicBoolean();
    private volatile IoSession session;
    private volatile Future<?> timeout;

    /** Whether the request is sent once more if its reused connection breaks. */
    private volatile boolean retryable;

    /**
     * @param idleConnections takes the connection after a response
     * @param connector opens a new connection and calls {@link #send} or {@link #fail}
     */
    ClientExchange(
            InetSocketAddress address,
            HttpMessage.Request request,
            HttpClient.ResponseHandler taker,
            IdleConnections idleConnections,
            Consumer<ClientExchange> connector) {
        this.address = address;
        this.request = request;
        this.taker = taker;
        this.idleConnections = idleConnections;
        this.connector = connector;
    }

    /** The exchange that a connection carries now; null if it is idle. */
    static ClientExchange of(IoSession session) {
        return (ClientExchange) session.getAttribute(EXCHANGE);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sets the timer to cancel once there is an outcome. */
    void timeout(Future<?> timer) {
        timeout = timer;
    }

    /** Sends the request on a connection that has carried others: it may be about to close. */
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
            connectionLost(connection, "the connection closed as the call was written");
        }
    }

    /**
     * Retries or fails; ignored unless it is the current connection, so a repetition is harmless.
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

    /** Completes with the response and frees the connection. */
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
        taker.onResponse(response);
    }

    /** Completes with a failure and closes the connection, so that the server can stop its work. */
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
        taker.onFailure(failure, detail);
    }
}
