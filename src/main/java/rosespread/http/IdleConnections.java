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
 * Open client connections that carry no request, by address. Nothing is held of a closed connection
 * nor of an address without connections, since servers come and go all day.
 *
 * <p>Thread-safe: an address's deque is touched only within the map's atomic updates.
 */
final class IdleConnections {
    private static final int MAX_PER_ADDRESS = 64;
    private static final AttributeKey ADDRESS = new AttributeKey(IdleConnections.class, "address");

    private final Map<InetSocketAddress, Deque<IoSession>> byAddress = new ConcurrentHashMap<>();

    /** Removes and returns the connection that became idle last and is still open. */
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

    /** Keeps a connection for later, or closes it if its address has enough. */
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

    /** Forgets a connection that has closed; does nothing if it was never idle. */
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
