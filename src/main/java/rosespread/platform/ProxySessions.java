package rosespread.platform;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.Consumer;
import rosespread.api.ProxyId;

/**
 * The session registry: one session a joined proxy, in the order of proxies' numbers. A connection
 * counts only while it is the one of its proxy's session. Owned by the event-loop thread.
 */
final class ProxySessions {
    private final Map<ProxyId, ProxySession> sessions = new TreeMap<>();
    private long unmatchedAcknowledgements;

    /** Opens a proxy's session; returns the one that it replaces, whose connection still stands. */
    Optional<ProxySession> open(ProxyConnection connection, Message.ProxyJoin join) {
        return Optional.ofNullable(sessions.put(join.proxy(), new ProxySession(connection, join)));
    }

    /** Ends the proxy's session if it is on this connection, and says whether it was. */
    boolean close(ProxyId proxy, ProxyConnection connection) {
        boolean current = isCurrent(sessions.get(proxy), connection);
        if (current) {
            sessions.remove(proxy);
        }
        return current;
    }

    /**
     * Settles an acknowledgement.
     *
     * @return the policy's token; empty if the stream's token is not pending on this connection,
     *     which is counted
     */
    OptionalInt acknowledge(ProxyConnection connection, Message.Acknowledgement acknowledgement) {
        ProxySession session = sessions.get(acknowledgement.proxy());
        OptionalInt policyToken =
                isCurrent(session, connection)
                        ? session.pending().settle(acknowledgement.token())
                        : OptionalInt.empty();
        if (policyToken.isEmpty()) {
            unmatchedAcknowledgements++;
        }
        return policyToken;
    }

    private static boolean isCurrent(ProxySession session, ProxyConnection connection) {
        return session != null && session.connection() == connection;
    }

    /** Forgets what is pending on all sessions: no answer to an earlier update counts any more. */
    void clearPending() {
        sessions.values().forEach(session -> session.pending().clear());
    }

    void forEach(Consumer<ProxySession> action) {
        sessions.values().forEach(action);
    }

    /** The session of a joined proxy; null if it is not joined. */
    ProxySession find(ProxyId proxy) {
        return sessions.get(proxy);
    }

    int size() {
        return sessions.size();
    }

    long pendingAcknowledgements() {
        return sessions.values().stream().mapToLong(session -> session.pending().size()).sum();
    }

    /** The longest time that an acknowledgement has been pending, in nanoseconds; 0 if none is. */
    long maxPendingNanos(long now) {
        return sessions.values().stream()
                .mapToLong(session -> session.pending().maxAgeNanos(now))
                .max()
                .orElse(0);
    }

    /** Acknowledgements so far that matched nothing pending on their connection. */
    long unmatchedAcknowledgements() {
        return unmatchedAcknowledgements;
    }
}
