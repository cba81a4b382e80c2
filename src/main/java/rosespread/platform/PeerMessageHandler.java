package rosespread.platform;

import java.util.List;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import rosespread.eventloop.EventQueue;
import rosespread.platform.MalformedMessageException.Reason;
import rosespread.platform.PlatformMetrics.ConnectionEvent;
import rosespread.resp.RespException;
import rosespread.resp.RespWriter;

/**
 * Handles incoming messages: validates each one, answers heartbeats, and enqueues all others for
 * the event loop. Runs on I/O threads.
 */
final class PeerMessageHandler extends IoHandlerAdapter {
    private static final String CONNECTION = "connection";
    private static final byte[] HEARTBEAT_REPLY = RespWriter.encode(List.of("hb_ok"));

    /**
     * Limit on queued replies of a connection. Without the limit, a peer that sends heartbeats but
     * reads no replies could exhaust the memory.
     */
    private static final long MAX_UNREAD_REPLY_BYTES = 128L << 10;

    private final EventQueue events;
    private final PlatformState state;
    private final MessageReader reader;
    private final PlatformMetrics metrics;
    private final UnidentifiedConnections unidentified;

    PeerMessageHandler(
            EventQueue events,
            PlatformState state,
            MessageReader reader,
            PlatformMetrics metrics,
            UnidentifiedConnections unidentified) {
        this.events = events;
        this.state = state;
        this.reader = reader;
        this.metrics = metrics;
        this.unidentified = unidentified;
    }

    @Override
    public void sessionOpened(IoSession session) {
        PeerConnection connection = new PeerConnection(session, System.nanoTime());
        session.setAttribute(CONNECTION, connection);
        metrics.increment(ConnectionEvent.OPENED);
        unidentified.add(connection);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        PeerConnection connection = connectionOf(session);
        if (session.isClosing() || connection.role() == PeerConnection.Role.REJECTED) {
            return;
        }
        try {
            @SuppressWarnings("unchecked")
            List<String> strings = (List<String>) message;
            handle(connection, reader.read(strings));
        } catch (MalformedMessageException e) {
            metrics.countDropped(e.reason());
            if (connection.role() == PeerConnection.Role.UNIDENTIFIED) {
                reject(connection, e.getMessage());
            }
        }
    }

    private static PeerConnection connectionOf(IoSession session) {
        return (PeerConnection) session.getAttribute(CONNECTION);
    }

    private void handle(PeerConnection connection, Message message)
            throws MalformedMessageException {
        if (message instanceof Message.Heartbeat) {
            answerHeartbeat(connection);
        } else if (message instanceof Message.CollectorJoin) {
            joinCollector(connection);
        } else if (message instanceof Message.ProxyJoin join) {
            joinProxy(connection, join);
        } else if (message instanceof Message.Acknowledgement acknowledgement) {
            requireAllowed(connection.isOf(acknowledgement.proxy()));
            events.put(now -> state.acknowledged(now, connection, acknowledgement));
        } else if (message instanceof Message.DemandReport report) {
            requireAllowed(isCollector(connection) || connection.isOf(report.proxy()));
            events.putReport(now -> state.demandReported(now, report));
        } else if (message instanceof Message.LoadReport report) {
            requireAllowed(isCollector(connection));
            events.putReport(now -> state.loadReported(now, report));
        }
    }

    private static void answerHeartbeat(PeerConnection connection) {
        if (connection.writeBufferBytes() > MAX_UNREAD_REPLY_BYTES) {
            connection.close();
        } else {
            connection.write(HEARTBEAT_REPLY);
        }
    }

    private void joinCollector(PeerConnection connection) throws MalformedMessageException {
        requireAllowed(connection.role() == PeerConnection.Role.UNIDENTIFIED);
        connection.joinAsCollector();
        unidentified.remove(connection);
    }

    private void joinProxy(PeerConnection connection, Message.ProxyJoin join)
            throws MalformedMessageException {
        requireAllowed(connection.role() == PeerConnection.Role.UNIDENTIFIED);
        connection.joinAsProxy(join.proxy());
        unidentified.remove(connection);
        events.put(now -> state.proxyJoined(now, connection, join));
    }

    private static boolean isCollector(PeerConnection connection) {
        return connection.role() == PeerConnection.Role.COLLECTOR;
    }

    private static void requireAllowed(boolean allowed) throws MalformedMessageException {
        if (!allowed) {
            throw new MalformedMessageException(
                    Reason.PLACE,
                    "this peer may not send this kind of message, or not at this time");
        }
    }

    /**
     * Rejects a connection, which stays among the unidentified ones so that the join timeout still
     * applies. Otherwise a peer that never reads its rejection would keep its descriptor forever.
     */
    private void reject(PeerConnection connection, String reason) {
        metrics.increment(ConnectionEvent.REJECTED);
        connection.reject(reason);
    }

    @Override
    public void sessionClosed(IoSession session) {
        PeerConnection connection = connectionOf(session);
        unidentified.remove(connection);
        if (connection.role() == PeerConnection.Role.PROXY) {
            events.put(now -> state.connectionClosed(now, connection, connection.proxy()));
        }
    }

    /** Closes a connection that broke or whose bytes can't be parsed; counts the latter. */
    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        for (Throwable current = cause; current != null; current = current.getCause()) {
            if (current instanceof RespException) {
                metrics.increment(ConnectionEvent.UNPARSABLE);
            }
        }
        session.closeNow();
    }
}
