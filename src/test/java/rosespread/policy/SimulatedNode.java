package rosespread.policy;

import java.util.SplittableRandom;
import rosespread.api.EventHandler;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.api.PolicySettings;

/** A node of the simulated fleet: what the list tells of it and what it truly does. */
final class SimulatedNode {
    final long id;
    final int kind;
    final int zone;
    final double weight;
    final double capacity;
    final double[] load;
    EventHandler.NodeState state = EventHandler.NodeState.READY;
    long started = Long.MIN_VALUE;
    long reportedAt;

    /** The share of attempts that it aborts. */
    double failures;

    boolean reachable = true;

    /** Load reports are dropped, or gathered into one that comes late. */
    boolean reportsLost;

    boolean reportsHeld;

    SimulatedNode(long id, int kind, int zone, double weight, double capacity, int zones) {
        this.id = id;
        this.kind = kind;
        this.zone = zone;
        this.weight = weight;
        this.capacity = capacity;
        this.load = new double[zones];
    }

    /** Its load against what it can do by now. */
    double loadRatio(long now, PolicySettings settings) {
        double sum = 0;
        for (double part : load) {
            sum += part;
        }
        return sum / (capacity * warmUpRatio(now, settings));
    }

    private double warmUpRatio(long now, PolicySettings settings) {
        double part =
                started == Long.MIN_VALUE
                        ? 1
                        : Math.min(1, (now - started) / (double) settings.warmUpNanos());
        return settings.coldCapacityRatio() + (1 - settings.coldCapacityRatio()) * part;
    }

    /** How it answers a health check. */
    HealthCheckResult healthCheck(long now, PolicySettings settings, SplittableRandom random) {
        if (!reachable) {
            return random.nextBoolean()
                    ? HealthCheckResult.UNREACHABLE
                    : HealthCheckResult.TIMED_OUT;
        }
        if (random.nextDouble() < failures) {
            return HealthCheckResult.FAILED;
        }
        return loadRatio(now, settings) > 1 ? HealthCheckResult.REJECTED : HealthCheckResult.PASSED;
    }

    PolicyDriver.NodeEntry entry() {
        return new PolicyDriver.NodeEntry(id, kind, zone, weight, state, started);
    }
}
