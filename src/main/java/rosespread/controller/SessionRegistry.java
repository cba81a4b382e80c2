package rosespread.controller;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.ProxyId;
import rosespread.channel.Frame;
import rosespread.eventloop.RoundScheduler;

/**
 * All open sessions, and the joined ones by the id and name of their proxy. A proxy has at most one
 * joined session, and has an id only while that session is open.
 *
 * <p>Owned by the event-loop thread.
 */
final class SessionRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(SessionRegistry.class);

    private final RoundScheduler rounds;
    private final Set<ProxySession> openSessions = new LinkedHashSet<>();
    private final TreeMap<ProxyId, ProxySession> joined = new TreeMap<>();
    private final Map<ProxyId, ProxySession> joinedView = Collections.unmodifiableMap(joined);
    private final TreeMap<String, ProxyId> idsByName = new TreeMap<>();
    private PacedChannel channel;

    SessionRegistry(RoundScheduler rounds) {
        this.rounds = rounds;
    }

    /** Sets the channel whose queued messages are discarded when their session is closed. */
    void setChannel(PacedChannel newChannel) {
        channel = newChannel;
    }

    ProxySession open(ProxySession.Transport transport, long nowNanos) {
        ProxySession session = new ProxySession(transport, nowNanos);
        openSessions.add(session);
        return session;
    }

    /** Returns a copy of the open sessions, in the order in which they were opened. */
    List<ProxySession> openSessions() {
        return List.copyOf(openSessions);
    }

    /** Returns a live view of the joined sessions, in the order of their proxies' ids. */
    Map<ProxyId, ProxySession> joined() {
        return joinedView;
    }

    Optional<ProxySession> findJoined(String proxyName) {
        return Optional.ofNullable(idsByName.get(proxyName)).map(joined::get);
    }

    /** Returns the lowest id that no joined proxy has. */
    ProxyId lowestFreeId() {
        int free = 0;
        while (joined.containsKey(new ProxyId(free))) {
            free++;
        }
        return new ProxyId(free);
    }

    /** Adds a session whose Join was accepted, under the id and name of its proxy. */
    void addJoined(ProxySession session) {
        joined.put(session.proxy(), session);
        idsByName.put(session.name(), session.proxy());
    }

    /** Closes a session and tells the proxy the reason; does nothing if it is closed already. */
    void close(ProxySession session, Frame.Reason reason, String text) {
        if (remove(session)) {
            logClosed(session, reason.name(), text);
            session.transport().close(reason, text);
        }
    }

    /** Closes a session whose stream was closed or broke; does nothing if it is closed already. */
    void closedByPeer(ProxySession session) {
        if (remove(session)) {
            String text = "the stream closed";
            logClosed(session, "CLOSED_BY_PEER", text);
            session.transport().close(Frame.Reason.STOPPING, text);
        }
    }

    void closeAll(Frame.Reason reason, String text) {
        openSessions().forEach(session -> close(session, reason, text));
    }

    private boolean remove(ProxySession session) {
        if (!session.markClosed()) {
            return false;
        }
        openSessions.remove(session);
        if (session.isJoined() && joined.get(session.proxy()) == session) {
            joined.remove(session.proxy());
            idsByName.remove(session.name());
            ProxyId id = session.proxy();
            rounds.add(policy -> policy.proxyLeft(id));
        }
        if (channel != null) {
            channel.discard(session);
        }
        return true;
    }

    private static void logClosed(ProxySession session, String reason, String text) {
        LOG.atInfo()
                .addKeyValue("proxy", session.name())
                .addKeyValue("remote", session.transport().remoteAddress())
                .addKeyValue("reason", reason)
                .addKeyValue("detail", text)
                .log("proxy session closed");
    }
}
