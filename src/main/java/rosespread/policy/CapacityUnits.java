package rosespread.policy;

import java.util.Set;
import java.util.TreeMap;
import rosespread.api.MachineTypeId;

/**
 * Units of capacity: RPCs a second that a listed weight of 1 answers at full load, over all nodes
 * and by machine type; and the mean latency by machine type.
 */
final class CapacityUnits {
    private final TreeMap<MachineTypeId, Double> unitByType = new TreeMap<>();
    private final TreeMap<MachineTypeId, Double> latencyByType = new TreeMap<>();
    private double unit = Double.NaN;

    /** Whether anything was reported that tells the unit. */
    boolean known() {
        return !Double.isNaN(unit);
    }

    /** The unit over all nodes, NaN while it is not known. */
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

    /** Sets the unit of a machine type; one that is not known leaves the former. */
    void setUnit(MachineTypeId type, double rpcsPerSecond) {
        unitByType.merge(type, rpcsPerSecond, (old, fresh) -> fresh > 0 ? fresh : old);
    }

    /** The mean latency in seconds of a machine type that has nodes, NaN while it is not known. */
    double latency(MachineTypeId type) {
        return latencyByType.get(type);
    }

    void setLatency(MachineTypeId type, double seconds) {
        latencyByType.put(type, seconds);
    }

    /** All machine types that ever had a ready node. */
    Set<MachineTypeId> types() {
        return latencyByType.keySet();
    }
}
