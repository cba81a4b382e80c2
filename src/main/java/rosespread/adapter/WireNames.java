package rosespread.adapter;

import rosespread.api.EventHandler;
import rosespread.config.ConfigException;

/** The simulator's names of fields, and of the values that the policy has enums for. */
final class WireNames {
    static final String MESSAGE = "msg";
    static final String CONTROLLER = "conductorId";
    static final String PROXY = "clientLb";
    static final String NODE = "node";
    static final String ZONE = "zone";
    static final String TABLE = "tbl";
    static final String METHOD_BITS = "classBits";

    /** A weight, or a proxy's rate. */
    static final String WEIGHT = "w";

    /** The number of an acknowledgement. */
    static final String REVISION = "rev";

    static final String ACTIVE = "active";
    static final String COUNT = "count";

    /** A duration in seconds: an acknowledgement's latency, or the mean one of RPCs. */
    static final String LATENCY = "costTime";

    /** The seconds that a report covers. */
    static final String REPORT_PERIOD = "covers";

    static final String TEXT = "reasonText";

    private WireNames() {}

    /** The result of a health check; names not known are failures. */
    static EventHandler.HealthCheckResult healthCheckResult(String name) {
        return switch (name) {
            case "delivered" -> EventHandler.HealthCheckResult.PASSED;
            case "shed" -> EventHandler.HealthCheckResult.REJECTED;
            case "expired" -> EventHandler.HealthCheckResult.TIMED_OUT;
            case "dial_failed", "dropped" -> EventHandler.HealthCheckResult.UNREACHABLE;
            default -> EventHandler.HealthCheckResult.FAILED;
        };
    }

    /**
     * The kind of a node list.
     *
     * @throws ConfigException if the name is not known
     */
    static EventHandler.NodeListKind nodeListKind(String name) throws ConfigException {
        return switch (name) {
            case "Partial" -> EventHandler.NodeListKind.INCREMENTAL;
            case "Complete" -> EventHandler.NodeListKind.FULL;
            case "Persisted" -> EventHandler.NodeListKind.CACHED;
            case "Error" -> EventHandler.NodeListKind.UNAVAILABLE;
            default -> throw new ConfigException("no list is of kind \"" + name + "\"");
        };
    }

    /**
     * The state of a listed node.
     *
     * @throws ConfigException if the name is not known
     */
    static EventHandler.NodeState nodeState(String name) throws ConfigException {
        return switch (name) {
            case "ready" -> EventHandler.NodeState.READY;
            case "draining" -> EventHandler.NodeState.DRAINING;
            case "gone" -> EventHandler.NodeState.GONE;
            default -> throw new ConfigException("no node is \"" + name + "\"");
        };
    }
}
