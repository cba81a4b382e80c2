package rosespread.drain;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether one more node may drain: not if a method would keep too small a share of its
 * capacity, nor if it would lose its last ready node of a zone. Guards against drains that are each
 * right and together too much. It judges by what discovery and earlier drains say, so it sees no
 * load. Capacities are relative numbers without a unit.
 *
 * <p>Does no I/O and reads no clock. Immutable and therefore thread-safe.
 */
public final class DrainGuard {
    /**
     * A listed node.
     *
     * @param kind its machine type
     * @param size its capacity
     * @param ready whether requests may go there now
     */
    public record Node(String name, String zone, String kind, double size, boolean ready) {}

    /**
     * Where requests of a method may go.
     *
     * @param onlyKinds the machine types that it may use, empty for all
     * @param onlyZones the zones that it may use, empty for all
     */
    public record Method(String name, Set<String> onlyKinds, Set<String> onlyZones) {
        boolean allows(Node node) {
            return (onlyKinds.isEmpty() || onlyKinds.contains(node.kind()))
                    && (onlyZones.isEmpty() || onlyZones.contains(node.zone()));
        }
    }

    private final double leastShare;

    /**
     * A guard with a limit.
     *
     * @param leastShare the share of all listed capacity that a method must keep, 0 to 1
     */
    public DrainGuard(double leastShare) {
        this.leastShare = leastShare;
    }

    /**
     * Why a node may not drain.
     *
     * @param draining the node's name
     * @return a sentence with figures for each reason; empty if it may drain
     */
    public List<String> violations(String draining, List<Node> nodes, List<Method> methods) {
        List<String> violations = new ArrayList<>();
        for (Method method : methods) {
            List<Node> usable = nodes.stream().filter(method::allows).toList();
            tooLittleCapacity(method, draining, usable).ifPresent(violations::add);
            violations.addAll(lostZones(method, draining, usable));
        }
        return violations;
    }

    private Optional<String> tooLittleCapacity(Method method, String draining, List<Node> nodes) {
        double listed = 0;
        double before = 0;
        double left = 0;
        for (Node node : nodes) {
            listed += node.size();
            if (node.ready()) {
                before += node.size();
                left += node.name().equals(draining) ? 0 : node.size();
            }
        }
        // A method that the node does not serve now loses nothing by the drain.
        if (left < before && left < leastShare * listed) {
            return Optional.of(
                    String.format(
                            Locale.ROOT,
                            "method %s would keep %.2f of %.2f, that is %.0f%% where %.0f%% must stay",
                            method.name(),
                            left,
                            listed,
                            100 * left / listed,
                            100 * leastShare));
        }
        return Optional.empty();
    }

    private static List<String> lostZones(Method method, String draining, List<Node> nodes) {
        Set<String> before = new TreeSet<>();
        Set<String> left = new TreeSet<>();
        for (Node node : nodes) {
            if (node.ready()) {
                (node.name().equals(draining) ? before : left).add(node.zone());
            }
        }
        before.removeAll(left);
        return before.stream()
                .map(
                        zone ->
                                "method "
                                        + method.name()
                                        + " would lose its last node of zone "
                                        + zone)
                .toList();
    }
}
