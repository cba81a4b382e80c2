package rosespread.drain;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides whether one more node may drain: not if a method would keep too small a part of its able
 * size, nor if it would lose its last node of a zone. Guards against drains that are each right and
 * together too much. It does no I/O and has no clock; it judges by what the list and earlier words
 * tell, so it sees no load.
 */
public final class DrainGuard {
    /**
     * @param ready whether RPCs may go there now
     */
    public record Node(String name, String zone, String kind, double size, boolean ready) {}

    /** Where a method may go; empty sets allow all. */
    public record Method(String name, Set<String> onlyKinds, Set<String> onlyZones) {
        boolean allows(Node node) {
            return (onlyKinds.isEmpty() || onlyKinds.contains(node.kind()))
                    && (onlyZones.isEmpty() || onlyZones.contains(node.zone()));
        }
    }

    private final double leastShare;

    /**
     * @param leastShare the part of all listed size that a method must keep, 0 to 1
     */
    public DrainGuard(double leastShare) {
        this.leastShare = leastShare;
    }

    /** Why the node may not drain, a sentence for each reason with its figures; empty if it may. */
    public List<String> violations(String draining, List<Node> nodes, List<Method> methods) {
        List<String> reasons = new ArrayList<>();
        for (Method method : methods) {
            double all = 0;
            double left = 0;
            double before = 0;
            TreeMap<String, Integer> ofZone = new TreeMap<>();
            TreeSet<String> zonesHit = new TreeSet<>();
            for (Node node : nodes) {
                if (!method.allows(node)) {
                    continue;
                }
                boolean goes = node.name().equals(draining);
                all += node.size();
                before += node.ready() ? node.size() : 0;
                left += node.ready() && !goes ? node.size() : 0;
                ofZone.merge(node.zone(), node.ready() && !goes ? 1 : 0, Integer::sum);
                if (goes && node.ready()) {
                    zonesHit.add(node.zone());
                }
            }
            // A method that the node does not serve now loses nothing by it.
            if (left < before && left < leastShare * all) {
                reasons.add(
                        String.format(
                                Locale.ROOT,
                                "method %s would keep %.2f of %.2f, that is %.0f%% where %.0f%% must stay",
                                method.name(),
                                left,
                                all,
                                100 * left / all,
                                100 * leastShare));
            }
            for (String zone : zonesHit) {
                if (ofZone.get(zone) == 0) {
                    reasons.add(
                            "method "
                                    + method.name()
                                    + " would lose its last node of zone "
                                    + zone);
                }
            }
        }
        return reasons;
    }
}
