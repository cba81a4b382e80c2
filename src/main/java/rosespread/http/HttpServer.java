package rosespread.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Answers calls on any number of addresses. Calls of one connection are handed out one by one, so
 * that answers keep their order (RFC 9112 section 9.3.2); at most {@value #MOST_WAITING} more may
 * wait behind one.
 */
public final class HttpServer implements AutoCloseable {
    /**
     * Takes calls on an I/O thread and must not block; the answer may come later and from any
     * thread.
     */
    @FunctionalInterface
    public interface Handler {
        void handle(HttpMessage.Request call, Exchange exchange);
    }

    /** One call to be answered once. */
    public interface Exchange {
        /** The port that the call came to. */
        int port();

        /** The answer; a second one, or one after the caller has hung up, is dropped. */
        void respond(HttpMessage.Response answer);

        /** Closes without an answer. */
        void abort();

        /** Runs once if the connection closes before the answer. */
        void onClosed(Runnable then);
    }

    private static final int MOST_WAITING = 64;
    private static final int IDLE_SECONDS = 60;
    private static final String LANE = "lane";

    private final NioSocketAcceptor acceptor;
    private final Handler handler;

    public HttpServer(int threads, HttpLimits limits, Handler handler) {
        this.handler = handler;
        acceptor = new NioSocketAcceptor(threads);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(1024);
        acceptor.setCloseOnDeactivation(false);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setIdleTime(IdleStatus.READER_IDLE, IDLE_SECONDS);
        acceptor.getFilterChain()
                .addLast("http", new ProtocolCodecFilter(new HttpCodec(true, limits)));
        acceptor.setHandler(new Sessions());
    }

    /** Listens; port 0 takes a free one. Returns the address in use. */
    public synchronized InetSocketAddress listen(InetSocketAddress address) throws IOException {
        if (address.getPort() != 0) {
            acceptor.bind(address);
            return address;
        }
        var before = acceptor.getLocalAddresses();
        acceptor.bind(address);
        var after = acceptor.getLocalAddresses();
        after.removeAll(before);
        return (InetSocketAddress) after.iterator().next();
    }

    /** Stops listening at an address and resets its connections, as a process that dies would. */
    public synchronized void drop(InetSocketAddress address) {
        acceptor.unbind(address);
        for (IoSession session : acceptor.getManagedSessions().values()) {
            if (((InetSocketAddress) session.getLocalAddress()).getPort() == address.getPort()) {
                session.closeNow();
            }
        }
    }

    @Override
    public void close() {
        acceptor.getManagedSessions().values().forEach(IoSession::closeNow);
        acceptor.dispose();
    }

    /** One connection's calls in their order. */
    private final class Lane {
        private final IoSession session;
        private final ArrayDeque<HttpMessage.Request> waiting = new ArrayDeque<>();
        private Turn current;

        Lane(IoSession session) {
            this.session = session;
        }

        void take(HttpMessage.Request call) {
            synchronized (this) {
                if (current != null) {
                    waiting.add(call);
                    if (waiting.size() > MOST_WAITING) {
                        session.closeNow();
                    }
                    return;
                }
                current = new Turn(this, call.keepsAlive());
            }
            handler.handle(call, current);
        }

        void done(Turn turn) {
            HttpMessage.Request next;
            synchronized (this) {
                if (current != turn) {
                    return;
                }
                next = waiting.poll();
                current = next == null ? null : new Turn(this, next.keepsAlive());
            }
            if (next != null) {
                handler.handle(next, current);
            }
        }

        synchronized Turn current() {
            return current;
        }
    }

    private static final class Turn implements Exchange {
        private final Lane lane;
        private final boolean keeps;
        private boolean answered;
        private boolean closed;
        private Runnable onClosed;

        Turn(Lane lane, boolean keeps) {
            this.lane = lane;
            this.keeps = keeps;
        }

        @Override
        public int port() {
            return ((InetSocketAddress) lane.session.getLocalAddress()).getPort();
        }

        @Override
        public void respond(HttpMessage.Response answer) {
            synchronized (this) {
                if (answered) {
                    return;
                }
                answered = true;
            }
            lane.session.write(answer);
            if (keeps && answer.keepsAlive()) {
                lane.done(this);
            } else {
                lane.session.closeOnFlush();
            }
        }

        @Override
        public void abort() {
            lane.session.closeNow();
        }

        @Override
        public void onClosed(Runnable then) {
            synchronized (this) {
                onClosed = then;
                if (!closed) {
                    return;
                }
            }
            then.run();
        }

        void closed() {
            Runnable then;
            synchronized (this) {
                closed = true;
                then = answered ? null : onClosed;
                answered = true;
            }
            if (then != null) {
                then.run();
            }
        }
    }

    private final class Sessions extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            session.setAttribute(LANE, new Lane(session));
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            ((Lane) session.getAttribute(LANE)).take((HttpMessage.Request) message);
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            if (((Lane) session.getAttribute(LANE)).current() == null) {
                session.closeNow();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            Lane lane = (Lane) session.getAttribute(LANE);
            Turn turn = lane == null ? null : lane.current();
            if (turn != null) {
                turn.closed();
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            for (Throwable at = cause; at != null; at = at.getCause()) {
                if (at instanceof HttpException e && session.isConnected()) {
                    session.write(
                            HttpMessage.Response.of(
                                    e.status(), "text/plain", e.getMessage() + "\n"));
                    session.closeOnFlush();
                    return;
                }
            }
            session.closeNow();
        }
    }
}
