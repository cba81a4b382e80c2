package rosespread.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * Makes calls over kept connections, one call at a time on each; every call ends in exactly one
 * outcome. The other end may close a kept connection just as a call is written on it; a call that
 * changes nothing (GET, HEAD) is then made once more on a new connection within the same time, as
 * RFC 9110, 9.2.2 allows.
 */
public final class HttpClient implements AutoCloseable {
    /** Why no answer came. */
    public enum Failure {
        /** No connection was had, so not a byte was written: proof that the call never ran. */
        NOT_CONNECTED,
        /** The connection broke after the call may have been written. */
        BROKEN,
        TIMED_OUT,
        /** What came back is not HTTP/1.1. */
        MALFORMED
    }

    /** Takes the outcome on an I/O or timer thread and must not block. */
    public interface ResponseHandler {
        void onResponse(HttpMessage.Response answer);

        void onFailure(Failure failure, String detail);
    }

    private static final String TALK = "talk";
    private static final String KEPT_FOR = "kept for";
    private static final int MOST_IDLE = 64;

    /** Methods whose calls change nothing at the other end. */
    private static final Set<String> SAFE = Set.of("GET", "HEAD");

    private final NioSocketConnector connector;
    private final ScheduledThreadPoolExecutor timer;
    private final Map<InetSocketAddress, Deque<IoSession>> idle = new ConcurrentHashMap<>();

    /**
     * @param connectMillis how long a connection may take; @param idleSeconds how long an unused
     *     one is kept
     */
    public HttpClient(int threads, HttpLimits limits, int connectMillis, int idleSeconds) {
        connector = new NioSocketConnector(threads);
        connector.setConnectTimeoutMillis(connectMillis);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getSessionConfig().setIdleTime(IdleStatus.BOTH_IDLE, idleSeconds);
        connector
                .getFilterChain()
                .addLast("http", new ProtocolCodecFilter(new HttpCodec(false, limits)));
        connector.setHandler(new Sessions());
        timer =
                (ScheduledThreadPoolExecutor)
                        Executors.newScheduledThreadPool(
                                1,
                                task -> {
                                    Thread thread = new Thread(task, "http-timer");
                                    thread.setDaemon(true);
                                    return thread;
                                });
        timer.setRemoveOnCancelPolicy(true);
    }

    /**
     * Makes a call; {@code nanos} runs until the whole answer is there. A call that is given up on
     * closes its connection, so that the other side can stop. Returns what cancels it.
     */
    public Runnable call(InetSocketAddress to, HttpMessage.Request call, long nanos, ResponseHandler taker) {
        Talk talk = new Talk(to, call, taker);
        talk.deadline =
                timer(
                        nanos,
                        () ->
                                talk.fail(
                                        Failure.TIMED_OUT,
                                        "no answer within "
                                                + TimeUnit.NANOSECONDS.toMillis(nanos)
                                                + " ms"));
        IoSession kept = take(to);
        if (kept != null) {
            talk.again = SAFE.contains(call.method());
            talk.start(kept);
        } else {
            connect(talk);
        }
        return () -> talk.fail(Failure.TIMED_OUT, "cancelled");
    }

    private void connect(Talk talk) {
        connector
                .connect(talk.to)
                .addListener(
                        future -> {
                            ConnectFuture made = (ConnectFuture) future;
                            if (made.isConnected()) {
                                talk.start(made.getSession());
                            } else {
                                talk.fail(
                                        Failure.NOT_CONNECTED,
                                        "no connection to " + talk.to + ": " + made.getException());
                            }
                        });
    }

    private ScheduledFuture<?> timer(long nanos, Runnable then) {
        ScheduledExecutorService on = timer;
        return on.schedule(then, nanos, TimeUnit.NANOSECONDS);
    }

    private IoSession take(InetSocketAddress to) {
        IoSession[] taken = new IoSession[1];
        idle.computeIfPresent(
                to,
                (address, kept) -> {
                    while (taken[0] == null && !kept.isEmpty()) {
                        IoSession last = kept.pollLast();
                        taken[0] = last.isActive() ? last : null;
                    }
                    return kept.isEmpty() ? null : kept;
                });
        return taken[0];
    }

    private void keep(InetSocketAddress to, IoSession session) {
        session.setAttribute(KEPT_FOR, to);
        boolean[] room = new boolean[1];
        idle.compute(
                to,
                (address, kept) -> {
                    Deque<IoSession> all = kept == null ? new ArrayDeque<>() : kept;
                    room[0] = all.size() < MOST_IDLE && session.isActive();
                    if (room[0]) {
                        all.addLast(session);
                    }
                    return all.isEmpty() ? null : all;
                });
        if (!room[0]) {
            session.closeNow();
        }
    }

    /**
     * Nothing is held of a connection that is gone, nor of an address that is: nodes come and go
     * all day.
     */
    private void forget(IoSession session) {
        InetSocketAddress to = (InetSocketAddress) session.getAttribute(KEPT_FOR);
        if (to != null) {
            idle.computeIfPresent(
                    to,
                    (address, kept) -> {
                        kept.remove(session);
                        return kept.isEmpty() ? null : kept;
                    });
        }
    }

    /** How many addresses connections are kept for. */
    int kept() {
        return idle.size();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        connector.getManagedSessions().values().forEach(IoSession::closeNow);
        connector.dispose();
    }

    /** One call and its one outcome. */
    private final class Talk {
        private final InetSocketAddress to;
        private final HttpMessage.Request call;
        private final ResponseHandler taker;
        private final AtomicBoolean over = new AtomicBoolean();
        private volatile IoSession session;
        private volatile ScheduledFuture<?> deadline;

        /**
         * Whether the call may be made once more, if the kept connection breaks before its answer.
         */
        private volatile boolean again;

        Talk(InetSocketAddress to, HttpMessage.Request call, ResponseHandler taker) {
            this.to = to;
            this.call = call;
            this.taker = taker;
        }

        void start(IoSession on) {
            session = on;
            on.setAttribute(TALK, this);
            if (over.get()) {
                on.closeNow();
                return;
            }
            on.write(call);
            if (on.isClosing()) {
                broke(on, "the connection closed as the call was written");
            }
        }

        /** LoadReportStatistics twice of one connection, it counts once. */
        void broke(IoSession on, String detail) {
            if (!on.equals(session)) {
                return;
            }
            boolean repeat;
            synchronized (this) {
                repeat = again && !over.get();
                again = false;
                session = repeat ? null : session;
            }
            if (repeat) {
                on.removeAttribute(TALK);
                on.closeNow();
                connect(this);
            } else {
                fail(Failure.BROKEN, detail);
            }
        }

        void answered(HttpMessage.Response answer) {
            if (over.compareAndSet(false, true)) {
                deadline.cancel(false);
                session.removeAttribute(TALK);
                if (answer.keepsAlive()) {
                    keep(to, session);
                } else {
                    session.closeNow();
                }
                taker.onResponse(answer);
            }
        }

        void fail(Failure failure, String detail) {
            if (over.compareAndSet(false, true)) {
                ScheduledFuture<?> set = deadline;
                if (set != null) {
                    set.cancel(false);
                }
                IoSession on = session;
                if (on != null) {
                    on.closeNow();
                }
                taker.onFailure(failure, detail);
            }
        }
    }

    private final class Sessions extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            Talk talk = (Talk) session.getAttribute(TALK);
            if (talk == null) {
                session.closeNow();
            } else {
                talk.answered((HttpMessage.Response) message);
            }
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            if (session.getAttribute(TALK) == null) {
                session.closeNow();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            forget(session);
            Talk talk = (Talk) session.getAttribute(TALK);
            if (talk != null) {
                talk.broke(session, "the connection closed before the answer");
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            Talk talk = (Talk) session.getAttribute(TALK);
            Throwable root = cause;
            while (root.getCause() != null && !(root instanceof HttpException)) {
                root = root.getCause();
            }
            if (talk != null && root instanceof HttpException) {
                talk.fail(Failure.MALFORMED, root.getMessage());
            } else if (talk != null) {
                talk.broke(session, root.getMessage());
            }
            session.closeNow();
        }
    }
}
