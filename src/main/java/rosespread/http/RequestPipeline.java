package rosespread.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.mina.core.session.IoSession;

/**
 * The requests of one server connection, handed to the handler one at a time so that responses keep
 * their order (RFC 9112, 9.3.2). At most {@value #MAX_WAITING} more may wait behind the current
 * one; a client that pipelines more is disconnected.
 *
 * <p>Thread-safe: requests arrive on the connection's I/O thread, responses from any thread. The
 * handler is always called without the lock.
 */
final class RequestPipeline {
    static final int MAX_WAITING = 64;

    private final IoSession session;
    private final HttpServer.Handler handler;
    private final Deque<HttpMessage.Request> waiting = new ArrayDeque<>();

    /** The exchange that the handler has; null if there is none. Guarded by this. */
    private PendingExchange current;

    RequestPipeline(IoSession session, HttpServer.Handler handler) {
        this.session = session;
        this.handler = handler;
    }

    /** Hands the request out, or queues it behind the current one. */
    void receive(HttpMessage.Request request) {
        PendingExchange exchange;
        synchronized (this) {
            if (current != null) {
                waiting.add(request);
                if (waiting.size() > MAX_WAITING) {
                    session.closeNow();
                }
                return;
            }
            exchange = new PendingExchange(request.keepsAlive());
            current = exchange;
        }
        handler.handle(request, exchange);
    }

    synchronized boolean isIdle() {
        return current == null;
    }

    /** Tells the current exchange that its client is gone. */
    void connectionClosed() {
        PendingExchange exchange;
        synchronized (this) {
            exchange = current;
        }
        if (exchange != null) {
            exchange.connectionClosed();
        }
    }

    private void handOutNext(PendingExchange answered) {
        HttpMessage.Request next;
        PendingExchange exchange;
        synchronized (this) {
            if (current != answered) {
                return;
            }
            next = waiting.poll();
            exchange = next == null ? null : new PendingExchange(next.keepsAlive());
            current = exchange;
        }
        if (next != null) {
            handler.handle(next, exchange);
        }
    }

    /**
     * A request that was handed out. Its own lock guards its state; no call is made with it held.
     */
    private final class PendingExchange implements HttpServer.Exchange {
        private final boolean requestKeepsAlive;

        /** Whether a response was given, or none can be any more. */
        private boolean completed;

        private boolean closed;
        private Runnable closeAction;

        PendingExchange(boolean requestKeepsAlive) {
            this.requestKeepsAlive = requestKeepsAlive;
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
            if (requestKeepsAlive && response.keepsAlive()) {
                handOutNext(this);
            } else {
                session.closeOnFlush();
            }
        }

        @Override
        public void abort() {
            session.closeNow();
        }

        @Override
        public void onClosed(Runnable action) {
            synchronized (this) {
                closeAction = action;
                if (!closed) {
                    return;
                }
            }
            action.run();
        }

        void connectionClosed() {
            Runnable action;
            synchronized (this) {
                closed = true;
                action = completed ? null : closeAction;
                completed = true;
            }
            if (action != null) {
                action.run();
            }
        }
    }
}
