package rosespread.policy;

import java.util.Set;
import java.util.TreeMap;
import rosespread.api.MachineTypeId;

/**
 * Capacity units: the RPCs per second that a node of listed weight 1 answers at full load, over all
 * nodes and by machine type. Also holds the mean latency by machine type.
 */
final class CapacityUnits {
    private final TreeMap<MachineTypeId, Double> unitByType = new TreeMap<>();
    private final TreeMap<MachineTypeId, Double> latencyByType = new TreeMap<>();
    private double unit = Double.NaN;

    /** Whether the reports so far were enough to estimate the unit over all nodes. */
    boolean known() {
        return !Double.isNaN(unit);
    }

    /** The capacity unit over all nodes, NaN while it is not known. */
    double unit() {
        return unit;
    }

    /** The unit of a machine type, that of all nodes while nothing was reported of the type. */
    double unit(MachineTypeId type) {
        return unitByType.getOrDefault(type, unit);
    }

    void setUnit(double rpcsPerSecond) {
        unit = rpcsPerSecond;
    }

    /** Sets the unit of a machine type; an unknown one (NaN) leaves the previous unit in place. */
    void setUnit(MachineTypeId type, double rpcsPerSecond) {
        unitByType.merge(
                type, rpcsPerSecond, (previous, measured) -> measured > 0 ? measured : previous);
    }

    /**
     * Mean latency in seconds of a machine type, NaN while the latency is not known. The type must
     * be one of {@link #types}.
     */
    double latency(MachineTypeId type) {
        return latencyByType.get(type);
    }

    void setLatency(MachineTypeId type, double seconds) {
        latencyByType.put(type, seconds);
    }

    /** All machine types that have ever had a ready node. */
    Set<MachineTypeId> types() {
        return latencyByType.keySet();
    }
}
