package rosespread.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import rosespread.eventloop.EventQueue;
import rosespread.resp.RespCodec;
import rosespread.resp.RespLimits;
import rosespread.resp.RespWriter;

/**
 * Where proxies and collectors connect, and strangers too. Who has not joined holds little and not
 * for long; near the limit of sockets the one that has waited longest goes first, so that a proxy
 * finds room.
 */
final class StreamServer implements AutoCloseable {
    private static final String PEER = "peer";

    /** Bounds of a message before joining, and after. */
    private static final RespLimits STRANGER = new RespLimits(4 << 10, 64);

    private static final RespLimits JOINED = new RespLimits(1 << 20, 256);

    /** How long a connection may take to join. */
    private static final long JOIN_WITHIN = 1_000_000_000L;

    /** Who asks for signs of life and reads none must not fill the memory. */
    private static final long UNREAD_MOST = 128L << 10;

    private static final long FULL_PAUSE = 2_000_000L;
    private static final byte[] ALIVE = RespWriter.bytes(List.of("hb_ok"));

    private final Acceptor acceptor = new Acceptor();
    private final EventQueue inbox;
    private final PlatformState core;
    private final MessageReader reader;
    private final PlatformMetrics counts;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Set<PeerConnection> strangers = new LinkedHashSet<>();
    private volatile int most;

    /**
     * @param most how many connections may be open at once
     */
    StreamServer(
            EventQueue inbox,
            PlatformState core,
            MessageReader reader,
            PlatformMetrics counts,
            int most) {
        this.inbox = inbox;
        this.core = core;
        this.reader = reader;
        this.counts = counts;
        this.most = most;
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(1024);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(2048);
        acceptor.getSessionConfig().setMaxReadBufferSize(8192);
        acceptor.getFilterChain().addLast("resp", new ProtocolCodecFilter(new RespCodec(STRANGER)));
        acceptor.setHandler(new Sessions());
    }

    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        return acceptor.getLocalAddress();
    }

    void setMaxConnections(int next) {
        most = next;
    }

    int openConnections() {
        return openConnections.get();
    }

    /** The most that one connection has not taken yet, in bytes. */
    long maxWriteBufferBytes() {
        return acceptor.getManagedSessions().values().stream()
                .mapToLong(IoSession::getScheduledWriteBytes)
                .max()
                .orElse(0);
    }

    /** Closes those that had their time to join. */
    void closeOverdue(long now) {
        List<PeerConnection> late = new ArrayList<>();
        synchronized (strangers) {
            for (Iterator<PeerConnection> all = strangers.iterator(); all.hasNext(); ) {
                PeerConnection peer = all.next();
                if (now - peer.openedAt < JOIN_WITHIN) {
                    break;
                }
                all.remove();
                late.add(peer);
            }
        }
        counts.strangersClosed.add(late.size());
        late.forEach(PeerConnection::close);
    }

    private void evictOldest() {
        PeerConnection oldest = null;
        synchronized (strangers) {
            Iterator<PeerConnection> all = strangers.iterator();
            if (all.hasNext()) {
                oldest = all.next();
                all.remove();
            }
        }
        if (oldest != null) {
            counts.evicted.increment();
            oldest.close();
        }
    }

    private void known(PeerConnection peer) {
        synchronized (strangers) {
            strangers.remove(peer);
        }
    }

    @Override
    public void close() {
        acceptor.unbind();
        acceptor.dispose(false);
    }

    /**
     * Takes no connection over the limit: it waits in the backlog until one that has not joined is
     * gone.
     */
    private final class Acceptor extends NioSocketAcceptor {
        Acceptor() {
            super(1);
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                throws Exception {
            if (openConnections.get() >= most) {
                evictOldest();
                LockSupport.parkNanos(FULL_PAUSE);
                if (openConnections.get() >= most) {
                    return null;
                }
            }
            NioSession session = taken(processor, handle);
            if (session != null) {
                openConnections.incrementAndGet();
                session.getCloseFuture().addListener(future -> openConnections.decrementAndGet());
            }
            return session;
        }

        /**
         * MINA's acceptor sleeps for a second when accepting throws. Guards against one peer that
         * is gone before it was accepted, or descriptors that lack for a moment, holding up all
         * that join.
         */
        private NioSession taken(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                throws Exception {
            try {
                return super.accept(processor, handle);
            } catch (IOException | RuntimeException e) {
                counts.notAccepted.increment();
                evictOldest();
                LockSupport.parkNanos(FULL_PAUSE);
                return null;
            }
        }
    }

    private final class Sessions extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            PeerConnection peer = new PeerConnection(session, System.nanoTime());
            session.setAttribute(PEER, peer);
            counts.opened.increment();
            synchronized (strangers) {
                strangers.add(peer);
            }
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            PeerConnection peer = (PeerConnection) session.getAttribute(PEER);
            if (session.isClosing() || peer.role == PeerConnection.Role.REJECTED) {
                return;
            }
            try {
                @SuppressWarnings("unchecked")
                List<String> words = (List<String>) message;
                take(peer, reader.read(words));
            } catch (MalformedMessageException e) {
                counts.drop(e.reason());
                if (peer.role == PeerConnection.Role.STRANGER) {
                    reject(peer, e.getMessage());
                }
            }
        }

        private void take(PeerConnection peer, Message message) throws MalformedMessageException {
            if (message instanceof Message.Heartbeat) {
                if (peer.writeBufferBytes() > UNREAD_MOST) {
                    peer.close();
                } else {
                    peer.write(ALIVE);
                }
            } else if (message instanceof Message.CollectorJoin collector
                    && peer.role == PeerConnection.Role.STRANGER) {
                peer.zone = collector.zone();
                joined(peer, PeerConnection.Role.COLLECTOR);
            } else if (message instanceof Message.ProxyJoin join
                    && peer.role == PeerConnection.Role.STRANGER) {
                peer.proxy = join.proxy();
                joined(peer, PeerConnection.Role.PROXY);
                inbox.put(now -> core.proxyJoined(now, peer, join));
            } else if (message instanceof Message.Acknowledgement done
                    && done.proxy().equals(peer.proxy)) {
                inbox.put(now -> core.acknowledged(now, peer, done));
            } else if (message instanceof Message.DemandReport offered
                    && (peer.role == PeerConnection.Role.COLLECTOR
                            || offered.proxy().equals(peer.proxy))) {
                inbox.putReport(now -> core.demandReported(now, offered));
            } else if (message instanceof Message.LoadReport sums
                    && peer.role == PeerConnection.Role.COLLECTOR) {
                inbox.putReport(now -> core.loadReported(now, sums));
            } else {
                throw new MalformedMessageException(
                        MalformedMessageException.Reason.PLACE, "this has no place here");
            }
        }

        private void joined(PeerConnection peer, PeerConnection.Role role) {
            peer.role = role;
            known(peer);
            RespCodec.limit(peer.session, JOINED);
        }

        /**
         * One word why, then the end; what still comes is not read, nor taken if it came along. It
         * stays among the strangers: guards against one that never reads its word and would keep
         * its descriptor for good.
         */
        private void reject(PeerConnection peer, String why) {
            counts.rejected.increment();
            peer.role = PeerConnection.Role.REJECTED;
            peer.session.suspendRead();
            peer.write(RespWriter.bytes(List.of("reject", "reason", why)));
            peer.session.closeOnFlush();
        }

        @Override
        public void sessionClosed(IoSession session) {
            PeerConnection peer = (PeerConnection) session.getAttribute(PEER);
            known(peer);
            if (peer.role == PeerConnection.Role.PROXY) {
                inbox.put(now -> core.connectionClosed(now, peer, peer.proxy));
            }
        }

        /** Bytes that can't be read, or a connection that broke: of no further use either way. */
        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            for (Throwable at = cause; at != null; at = at.getCause()) {
                if (at instanceof rosespread.resp.RespException) {
                    counts.garbled.increment();
                }
            }
            session.closeNow();
        }
    }
}
