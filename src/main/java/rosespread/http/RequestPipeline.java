package rosespread.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.mina.core.session.IoSession;
import rosespread.codec.ByteBudget;

/**
 * The requests of one server connection, passed to the handler one at a time so that responses keep
 * their order (RFC 9112, 9.3.2). At most {@value #MAX_WAITING} more requests may wait behind the
 * current one; a client that pipelines more is disconnected. While the requests hold more than
 * {@value #MAX_READ_AHEAD_BYTES} bytes, no more are read. Requests that the handler has not been
 * given when the connection closes are dropped.
 *
 * <p>Thread-safe: requests arrive on the connection's I/O thread, responses from any thread. The
 * handler is never called with the lock held.
 */
final class RequestPipeline {
    static final int MAX_WAITING = 64;
    static final int MAX_READ_AHEAD_BYTES = 64 << 10;

    private final IoSession session;
    private final HttpServer.Handler handler;
    private final Deque<HttpMessage.Request> waiting = new ArrayDeque<>();

    /** Counts the current and the waiting requests; not guarded by this. */
    private final ByteBudget.Holding holding;

    /** The exchange that the handler is processing; null if none. Guarded by this. */
    private PendingExchange current;

    /** Memory that the current and the waiting requests need. Changed while guarded by this. */
    private volatile int heldBytes;

    /** Whether the connection is closed. Guarded by this. */
    private boolean closed;

    /**
     * @param budget limits the requests of all connections together; a connection that is closed
     *     for it counts as closed by its client
     */
    RequestPipeline(IoSession session, HttpServer.Handler handler, ByteBudget budget) {
        this.session = session;
        this.handler = handler;
        this.holding = budget.open(() -> heldBytes, session::closeNow);
    }

    /** Passes the request to the handler, or queues it behind the current request. */
    void receive(HttpMessage.Request request) {
        PendingExchange exchange = accept(request);
        holding.refresh();
        if (exchange != null) {
            handler.handle(request, exchange);
        }
    }

    /** Returns the exchange of a request that the handler can be given now, otherwise null. */
    private synchronized PendingExchange accept(HttpMessage.Request request) {
        if (closed) {
            return null;
        }
        heldBytes += request.heldBytes();
        if (heldBytes > MAX_READ_AHEAD_BYTES) {
            session.suspendRead();
        }
        if (current != null) {
            waiting.add(request);
            if (waiting.size() > MAX_WAITING) {
                session.closeNow();
            }
            return null;
        }
        current = new PendingExchange(request);
        return current;
    }

    synchronized boolean isIdle() {
        return current == null;
    }

    /** Drops the waiting requests and notifies the current exchange of the closed connection. */
    void connectionClosed() {
        PendingExchange exchange;
        synchronized (this) {
            closed = true;
            waiting.clear();
            exchange = current;
        }
        holding.close();
        if (exchange != null) {
            exchange.connectionClosed();
        }
    }

    private void dispatchNext(PendingExchange answered) {
        HttpMessage.Request next;
        PendingExchange exchange;
        synchronized (this) {
            if (current != answered) {
                return;
            }
            heldBytes -= answered.request.heldBytes();
            if (heldBytes <= MAX_READ_AHEAD_BYTES) {
                session.resumeRead();
            }
            next = waiting.poll();
            exchange = next == null ? null : new PendingExchange(next);
            current = exchange;
        }
        holding.refreshAfterProgress();
        if (next != null) {
            handler.handle(next, exchange);
        }
    }

    /**
     * A request that was passed to the handler. The exchange's own lock guards its state; no call
     * is made with that lock held.
     */
    private final class PendingExchange implements HttpServer.Exchange {
        private final HttpMessage.Request request;

        /** Whether a response was given, or can no longer be given. */
        private boolean completed;

        private boolean connectionClosed;
        private Runnable closeAction;

        PendingExchange(HttpMessage.Request request) {
            this.request = request;
        }

        @Override
        public int port() {
            return ((InetSocketAddress) session.getLocalAddress()).getPort();
        }

        @Override
        public void respond(HttpMessage.Response response) {
            synchronized (this) {
                if (completed) {
                    return;
                }
                completed = true;
            }
            session.write(response);
            if (request.keepsAlive() && response.keepsAlive()) {
                dispatchNext(this);
            } else {
                session.closeOnFlush();
            }
        }

        @Override
        public synchronized boolean isClosed() {
            return connectionClosed;
        }

        @Override
        public void abort() {
            session.closeNow();
        }

        @Override
        public void onClosed(Runnable action) {
            synchronized (this) {
                closeAction = action;
                if (!connectionClosed) {
                    return;
                }
            }
            action.run();
        }

        void connectionClosed() {
            Runnable action;
            synchronized (this) {
                connectionClosed = true;
                action = completed ? null : closeAction;
                completed = true;
            }
            if (action != null) {
                action.run();
            }
        }
    }
}
