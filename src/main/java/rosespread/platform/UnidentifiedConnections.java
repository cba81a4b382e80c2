package rosespread.platform;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rosespread.platform.PlatformMetrics.ConnectionEvent;

/**
 * The connections that have not joined, the oldest first, including rejected connections that are
 * not closed yet. I/O, acceptor and timer threads call it; its state is guarded by its monitor.
 */
final class UnidentifiedConnections {
    /** The time within which a connection must join. */
    private static final long JOIN_TIMEOUT_NANOS = 1_000_000_000L;

    private final PlatformMetrics metrics;
    private final Set<PeerConnection> connections = new LinkedHashSet<>();

    UnidentifiedConnections(PlatformMetrics metrics) {
        this.metrics = metrics;
    }

    synchronized void add(PeerConnection connection) {
        connections.add(connection);
    }

    synchronized void remove(PeerConnection connection) {
        connections.remove(connection);
    }

    /** Closes connections that have not joined within the join timeout. */
    void closeOverdue(long now) {
        List<PeerConnection> overdue = takeOverdue(now);
        metrics.add(ConnectionEvent.JOIN_TIMEOUT, overdue.size());
        overdue.forEach(PeerConnection::close);
    }

    private synchronized List<PeerConnection> takeOverdue(long now) {
        List<PeerConnection> overdue = new ArrayList<>();
        Iterator<PeerConnection> oldestFirst = connections.iterator();
        while (oldestFirst.hasNext()) {
            PeerConnection connection = oldestFirst.next();
            if (now - connection.openedNanos() < JOIN_TIMEOUT_NANOS) {
                break;
            }
            oldestFirst.remove();
            overdue.add(connection);
        }
        return overdue;
    }

    /** Closes the oldest connection, if there is one, to make room for another. */
    void evictOldest() {
        PeerConnection oldest = takeOldest();
        if (oldest != null) {
            metrics.increment(ConnectionEvent.EVICTED);
            oldest.close();
        }
    }

    private synchronized PeerConnection takeOldest() {
        Iterator<PeerConnection> oldestFirst = connections.iterator();
        if (!oldestFirst.hasNext()) {
            return null;
        }
        PeerConnection oldest = oldestFirst.next();
        oldestFirst.remove();
        return oldest;
    }
}
