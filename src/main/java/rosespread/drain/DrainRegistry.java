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
 * All drains and ended drains, the latest of each node. Drains applied in any order and any number
 * of times lead to the same state. Ended ones stay for a while, so that a controller that missed
 * one learns of it.
 *
 * <p>Not thread-safe: owned by the controller's event loop.
 */
public final class DrainRegistry {
    private static final int MAX_REQUESTS = 4096;
    private static final int MAX_ENDED = 1024;
    private static final Comparator<Drain> BY_STAMP = Comparator.comparingLong(Drain::stamp);

    private final TreeMap<NodeId, Drain> latest = new TreeMap<>();

    /** Recent orders by the id of their request, oldest first. */
    private final Map<String, Drain> requests = new LinkedHashMap<>();

    private long stamp;

    /**
     * Applies an order given here or learnt from another controller.
     *
     * @return whether it changes what holds for the node
     */
    public boolean apply(Drain drain) {
        stamp = Math.max(stamp, drain.stamp());
        remember(drain);
        if (!drain.supersedes(latest.get(drain.node()))) {
            return false;
        }
        latest.put(drain.node(), drain);
        trimEnded();
        return true;
    }

    private void remember(Drain drain) {
        requests.put(drain.call(), drain);
        while (requests.size() > MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
    }

    private void trimEnded() {
        List<Drain> ended =
                latest.values().stream().filter(drain -> !drain.on()).sorted(BY_STAMP).toList();
        ended.subList(0, Math.max(0, ended.size() - MAX_ENDED))
                .forEach(drain -> latest.remove(drain.node()));
    }

    /** The stamp for an order that is given now. */
    public long nextStamp() {
        return stamp + 1;
    }

    /** The revision that a request is made against: the highest stamp known. */
    public long revision() {
        return stamp;
    }

    /** Whether a node drains by an operator's order. */
    public boolean drains(NodeId node) {
        Drain drain = latest.get(node);
        return drain != null && drain.on();
    }

    /** What a request of this id ordered before; empty if it is unknown or long ago. */
    public Optional<Drain> findByRequestId(String requestId) {
        return Optional.ofNullable(requests.get(requestId));
    }

    /** The latest order on a node, if any. */
    public Optional<Drain> latest(NodeId node) {
        return Optional.ofNullable(latest.get(node));
    }

    /** The latest orders of their nodes that were given after a revision, oldest first. */
    public List<Drain> changesSince(long revision) {
        List<Drain> later = new ArrayList<>(latest.values());
        later.removeIf(drain -> drain.stamp() <= revision);
        later.sort(BY_STAMP);
        return later;
    }

    /** The latest order of each node, by node: an unmodifiable view. */
    public Collection<Drain> allLatest() {
        return Collections.unmodifiableCollection(latest.values());
    }

    /** All orders that must be applied again to come to the same state, in this order. */
    public List<Drain> snapshot() {
        Set<Drain> all = new LinkedHashSet<>(requests.values());
        all.addAll(latest.values());
        List<Drain> sorted = new ArrayList<>(all);
        sorted.sort(BY_STAMP);
        return sorted;
    }
}
