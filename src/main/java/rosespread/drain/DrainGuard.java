package rosespread.drain;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether one more node may drain. Rejects a drain if a method would keep less than the
 * minimum ratio of its capacity, or would lose its last ready node in a zone. Prevents drains that
 * are each acceptable from removing too much capacity together. The decision uses the node list and
 * earlier drains only, so it does not take load into account. Capacities are relative numbers
 * without a unit.
 *
 * <p>Does no I/O and reads no clock. Immutable and therefore thread-safe.
 */
public final class DrainGuard {
    /**
     * A listed node.
     *
     * @param machineType the node's machine type
     * @param capacity the node's capacity
     * @param ready whether the node may receive requests now
     */
    public record Node(
            String name, String zone, String machineType, double capacity, boolean ready) {}

    /**
     * A method and the nodes that may serve it.
     *
     * @param allowedMachineTypes the machine types that may serve the method, empty for all
     * @param allowedZones the zones that may serve the method, empty for all
     */
    public record Method(String name, Set<String> allowedMachineTypes, Set<String> allowedZones) {
        boolean allows(Node node) {
            return (allowedMachineTypes.isEmpty()
                            || allowedMachineTypes.contains(node.machineType()))
                    && (allowedZones.isEmpty() || allowedZones.contains(node.zone()));
        }
    }

    private final double minCapacityRatio;

    /**
     * Creates a guard.
     *
     * @param minCapacityRatio the ratio of its listed capacity that a method must keep, 0 to 1
     */
    public DrainGuard(double minCapacityRatio) {
        this.minCapacityRatio = minCapacityRatio;
    }

    /**
     * Returns the reasons why a node may not drain.
     *
     * @param nodeToDrain the node's name
     * @return a sentence with figures for each reason; empty if the node may drain
     */
    public List<String> violations(String nodeToDrain, List<Node> nodes, List<Method> methods) {
        List<String> violations = new ArrayList<>();
        for (Method method : methods) {
            List<Node> usable = nodes.stream().filter(method::allows).toList();
            capacityViolation(method, nodeToDrain, usable).ifPresent(violations::add);
            violations.addAll(zoneViolations(method, nodeToDrain, usable));
        }
        return violations;
    }

    private Optional<String> capacityViolation(
            Method method, String nodeToDrain, List<Node> nodes) {
        double listedCapacity = 0;
        double readyCapacity = 0;
        double remainingCapacity = 0;
        for (Node node : nodes) {
            listedCapacity += node.capacity();
            if (node.ready()) {
                readyCapacity += node.capacity();
                remainingCapacity += node.name().equals(nodeToDrain) ? 0 : node.capacity();
            }
        }
        // A method that the node does not serve now loses no capacity by the drain.
        if (remainingCapacity < readyCapacity
                && remainingCapacity < minCapacityRatio * listedCapacity) {
            return Optional.of(
                    String.format(
                            Locale.ROOT,
                            "method %s would keep %.2f of %.2f capacity (%.0f%%); at least %.0f%% must remain",
                            method.name(),
                            remainingCapacity,
                            listedCapacity,
                            100 * remainingCapacity / listedCapacity,
                            100 * minCapacityRatio));
        }
        return Optional.empty();
    }

    private static List<String> zoneViolations(
            Method method, String nodeToDrain, List<Node> nodes) {
        Set<String> lostZones = new TreeSet<>();
        Set<String> remainingZones = new TreeSet<>();
        for (Node node : nodes) {
            if (node.ready()) {
                (node.name().equals(nodeToDrain) ? lostZones : remainingZones).add(node.zone());
            }
        }
        lostZones.removeAll(remainingZones);
        return lostZones.stream()
                .map(
                        zone ->
                                "method "
                                        + method.name()
                                        + " would lose its last ready node in zone "
                                        + zone)
                .toList();
    }
}
