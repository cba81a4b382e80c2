package rosespread.platform;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.Consumer;
import rosespread.api.ProxyId;

/**
 * The registry of sessions: one for each joined proxy, in the order of proxy ids. Events of a
 * connection count only while the connection belongs to its proxy's session. Owned by the
 * event-loop thread.
 */
final class ProxySessions {
    private final Map<ProxyId, ProxySession> sessions = new TreeMap<>();
    private long unmatchedAcknowledgements;

    /** Opens a session; returns the session that it replaces, whose connection is still open. */
    Optional<ProxySession> open(ProxyConnection connection, Message.ProxyJoin join) {
        return Optional.ofNullable(sessions.put(join.proxy(), new ProxySession(connection, join)));
    }

    /** Closes the proxy's session if it is on this connection; returns whether it was. */
    boolean close(ProxyId proxy, ProxyConnection connection) {
        boolean current = isCurrent(sessions.get(proxy), connection);
        if (current) {
            sessions.remove(proxy);
        }
        return current;
    }

    /**
     * Matches an acknowledgement with a pending update.
     *
     * @return the policy's token; empty if the stream's token is not pending on this connection, in
     *     which case the acknowledgement is counted as unmatched
     */
    OptionalInt acknowledge(ProxyConnection connection, Message.Acknowledgement acknowledgement) {
        ProxySession session = sessions.get(acknowledgement.proxy());
        OptionalInt policyToken =
                isCurrent(session, connection)
                        ? session.pending().complete(acknowledgement.token())
                        : OptionalInt.empty();
        if (policyToken.isEmpty()) {
            unmatchedAcknowledgements++;
        }
        return policyToken;
    }

    private static boolean isCurrent(ProxySession session, ProxyConnection connection) {
        return session != null && session.connection() == connection;
    }

    /**
     * Clears all pending acknowledgements; later acknowledgements of updates sent before this call
     * count as unmatched.
     */
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

    /** The age of the oldest pending acknowledgement in nanoseconds; 0 if none is pending. */
    long maxPendingNanos(long now) {
        return sessions.values().stream()
                .mapToLong(session -> session.pending().maxAgeNanos(now))
                .max()
                .orElse(0);
    }

    /** The number of acknowledgements that matched no pending update of their connection. */
    long unmatchedAcknowledgements() {
        return unmatchedAcknowledgements;
    }
}
