package rosespread.policy;

import java.util.SplittableRandom;
import rosespread.api.EventHandler;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.api.PolicySettings;

/** A node of the simulated fleet: its entry in the node list and its actual behaviour. */
final class SimulatedNode {
    final long id;
    final int machineType;
    final int zone;
    final double weight;
    final double capacity;
    final double[] load;
    EventHandler.NodeState state = EventHandler.NodeState.READY;
    long startedAt = Long.MIN_VALUE;
    long reportedAt;

    /** The fraction of attempts that the node aborts. */
    double failureRatio;

    boolean reachable = true;

    /** Whether the node's load reports are dropped. */
    boolean reportsLost;

    /** Whether the node's load reports are held back; one late report then covers the time. */
    boolean reportsHeld;

    SimulatedNode(long id, int machineType, int zone, double weight, double capacity, int zones) {
        this.id = id;
        this.machineType = machineType;
        this.zone = zone;
        this.weight = weight;
        this.capacity = capacity;
        this.load = new double[zones];
    }

    /** Returns the node's load divided by its current capacity. */
    double loadRatio(long now, PolicySettings settings) {
        double sum = 0;
        for (double zoneLoad : load) {
            sum += zoneLoad;
        }
        return sum / (capacity * warmUpRatio(now, settings));
    }

    private double warmUpRatio(long now, PolicySettings settings) {
        double warmUpProgress =
                startedAt == Long.MIN_VALUE
                        ? 1
                        : Math.min(1, (now - startedAt) / (double) settings.warmUpNanos());
        return settings.coldCapacityRatio() + (1 - settings.coldCapacityRatio()) * warmUpProgress;
    }

    /** Returns the node's answer to a health check. */
    HealthCheckResult healthCheck(long now, PolicySettings settings, SplittableRandom random) {
        if (!reachable) {
            return random.nextBoolean()
                    ? HealthCheckResult.UNREACHABLE
                    : HealthCheckResult.TIMED_OUT;
        }
        if (random.nextDouble() < failureRatio) {
            return HealthCheckResult.FAILED;
        }
        return loadRatio(now, settings) > 1 ? HealthCheckResult.REJECTED : HealthCheckResult.PASSED;
    }

    PolicyDriver.NodeEntry entry() {
        return new PolicyDriver.NodeEntry(id, machineType, zone, weight, state, startedAt);
    }
}
