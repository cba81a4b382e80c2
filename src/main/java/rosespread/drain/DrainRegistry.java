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
 * All words of operators on nodes, the last one each. WireNames that were taken back stay for a
 * while, so that a conductor that missed one learns of it.
 */
public final class DrainRegistry {
    private static final int CALLS_MOST = 4096;
    private static final int TAKEN_BACK_MOST = 1024;

    private final TreeMap<NodeId, Drain> allLatest = new TreeMap<>();

    /** The calls that gave a word lately, oldest first. */
    private final Map<String, Drain> calls = new LinkedHashMap<>();

    private long stamp;

    /** Takes a word given here or elsewhere; tells whether it changes anything. */
    public boolean apply(Drain word) {
        stamp = Math.max(stamp, word.stamp());
        remember(word);
        if (!word.supersedes(allLatest.get(word.node()))) {
            return false;
        }
        allLatest.put(word.node(), word);
        List<Drain> back =
                allLatest.values().stream()
                        .filter(w -> !w.on())
                        .sorted(Comparator.comparingLong(Drain::stamp))
                        .toList();
        back.subList(0, Math.max(0, back.size() - TAKEN_BACK_MOST))
                .forEach(w -> allLatest.remove(w.node()));
        return true;
    }

    private void remember(Drain word) {
        calls.put(word.call(), word);
        while (calls.size() > CALLS_MOST) {
            calls.remove(calls.keySet().iterator().next());
        }
    }

    /** The stamp for a word that is given now. */
    public long nextStamp() {
        return stamp + 1;
    }

    /** The revision that a call is made against: the last stamp known. */
    public long revision() {
        return stamp;
    }

    public boolean drains(NodeId node) {
        Drain word = allLatest.get(node);
        return word != null && word.on();
    }

    /** What a call of this id did before. */
    public Optional<Drain> findByRequestId(String call) {
        return Optional.ofNullable(calls.get(call));
    }

    public Optional<Drain> latest(NodeId node) {
        return Optional.ofNullable(allLatest.get(node));
    }

    /** WireNames that were given after a revision, oldest first. */
    public List<Drain> changesSince(long revision) {
        List<Drain> later = new ArrayList<>(allLatest.values());
        later.removeIf(word -> word.stamp() <= revision);
        later.sort(Comparator.comparingLong(Drain::stamp));
        return later;
    }

    public Collection<Drain> allLatest() {
        return Collections.unmodifiableCollection(allLatest.values());
    }

    /** All that must be taken again to come to the same, in this order. */
    public List<Drain> all() {
        Set<Drain> all = new LinkedHashSet<>(calls.values());
        all.addAll(allLatest.values());
        List<Drain> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.comparingLong(Drain::stamp));
        return sorted;
    }
}
