package rosespread.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/**
 * Open client connections without a current request, by address. Closed connections and addresses
 * without connections are removed, so that they do not accumulate as servers start and stop.
 *
 * <p>Thread-safe: an address's deque is accessed only within the map's atomic updates.
 */
final class IdleConnections {
    private static final int MAX_PER_ADDRESS = 64;
    private static final AttributeKey ADDRESS = new AttributeKey(IdleConnections.class, "address");

    private final Map<InetSocketAddress, Deque<IoSession>> byAddress = new ConcurrentHashMap<>();

    /** Removes and returns the open connection that became idle most recently; empty if none. */
    Optional<IoSession> take(InetSocketAddress address) {
        AtomicReference<IoSession> taken = new AtomicReference<>();
        byAddress.computeIfPresent(
                address,
                (key, sessions) -> {
                    taken.set(pollLastActive(sessions));
                    return sessions.isEmpty() ? null : sessions;
                });
        return Optional.ofNullable(taken.get());
    }

    private static IoSession pollLastActive(Deque<IoSession> sessions) {
        while (!sessions.isEmpty()) {
            IoSession last = sessions.pollLast();
            if (last.isActive()) {
                return last;
            }
        }
        return null;
    }

    /**
     * Keeps an open connection for reuse; closes it if {@value #MAX_PER_ADDRESS} idle connections
     * to its address are kept already.
     */
    void put(InetSocketAddress address, IoSession session) {
        session.setAttribute(ADDRESS, address);
        AtomicBoolean added = new AtomicBoolean();
        byAddress.compute(
                address,
                (key, present) -> {
                    Deque<IoSession> sessions = present == null ? new ArrayDeque<>() : present;
                    if (sessions.size() < MAX_PER_ADDRESS && session.isActive()) {
                        sessions.addLast(session);
                        added.set(true);
                    }
                    return sessions.isEmpty() ? null : sessions;
                });
        if (!added.get()) {
            session.closeNow();
        }
    }

    /** Removes a closed connection; no effect if the connection was never idle. */
    void remove(IoSession session) {
        InetSocketAddress address = (InetSocketAddress) session.getAttribute(ADDRESS);
        if (address != null) {
            byAddress.computeIfPresent(
                    address,
                    (key, sessions) -> {
                        sessions.remove(session);
                        return sessions.isEmpty() ? null : sessions;
                    });
        }
    }

    /** The number of addresses with at least one idle connection. */
    int addressCount() {
        return byAddress.size();
    }
}
