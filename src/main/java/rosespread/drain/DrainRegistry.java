package rosespread.drain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import rosespread.api.NodeId;

/**
 * The latest drain or end of a drain of each node. Drains applied in any order and any number of
 * times lead to the same state. The most recent {@value #MAX_ENDED_DRAINS} ended drains are kept,
 * so that a controller that missed the end of a drain can still receive it.
 *
 * <p>Not thread-safe: owned by the controller's event loop.
 */
public final class DrainRegistry {
    private static final int MAX_REQUEST_IDS = 4096;
    private static final int MAX_ENDED_DRAINS = 1024;
    private static final Comparator<Drain> BY_STAMP = Comparator.comparingLong(Drain::stamp);

    private final TreeMap<NodeId, Drain> latestByNode = new TreeMap<>();

    /** Recent orders by request id, oldest first. */
    private final Map<String, Drain> drainsByRequestId = new LinkedHashMap<>();

    private long highestStamp;

    /**
     * Applies an order that was given to this controller or received from another one.
     *
     * @return whether the order is now the latest one for its node
     */
    public boolean apply(Drain drain) {
        highestStamp = Math.max(highestStamp, drain.stamp());
        recordRequest(drain);
        if (!drain.supersedes(latestByNode.get(drain.node()))) {
            return false;
        }
        latestByNode.put(drain.node(), drain);
        removeOldestEnded();
        return true;
    }

    private void recordRequest(Drain drain) {
        drainsByRequestId.put(drain.call(), drain);
        while (drainsByRequestId.size() > MAX_REQUEST_IDS) {
            drainsByRequestId.remove(drainsByRequestId.keySet().iterator().next());
        }
    }

    private void removeOldestEnded() {
        List<Drain> ended =
                latestByNode.values().stream()
                        .filter(drain -> !drain.on())
                        .sorted(BY_STAMP)
                        .toList();
        ended.subList(0, Math.max(0, ended.size() - MAX_ENDED_DRAINS))
                .forEach(drain -> latestByNode.remove(drain.node()));
    }

    /** Returns the stamp for a new order. */
    public long nextStamp() {
        return highestStamp + 1;
    }

    /** Returns the current revision of the drains, which is the highest known stamp. */
    public long revision() {
        return highestStamp;
    }

    /** Returns whether an operator drains the node. */
    public boolean drains(NodeId node) {
        Drain drain = latestByNode.get(node);
        return drain != null && drain.on();
    }

    /** Returns the order of an earlier request; empty if the id is unknown or no longer kept. */
    public Optional<Drain> findByRequestId(String requestId) {
        return Optional.ofNullable(drainsByRequestId.get(requestId));
    }

    /** Returns the latest order for a node, if any. */
    public Optional<Drain> latest(NodeId node) {
        return Optional.ofNullable(latestByNode.get(node));
    }

    /** Returns the latest order of each node that is newer than a revision, oldest first. */
    public List<Drain> changesSince(long revision) {
        List<Drain> newer = new ArrayList<>(latestByNode.values());
        newer.removeIf(drain -> drain.stamp() <= revision);
        newer.sort(BY_STAMP);
        return newer;
    }

    /** Returns the latest order of each node, sorted by node: an unmodifiable view. */
    public Collection<Drain> allLatest() {
        return Collections.unmodifiableCollection(latestByNode.values());
    }

    /** Returns all orders that restore the same state when applied in the returned order. */
    public List<Drain> snapshot() {
        Set<Drain> all = new LinkedHashSet<>(drainsByRequestId.values());
        all.addAll(latestByNode.values());
        List<Drain> sorted = new ArrayList<>(all);
        sorted.sort(BY_STAMP);
        return sorted;
    }
}
