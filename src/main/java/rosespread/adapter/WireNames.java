package rosespread.adapter;

import rosespread.api.EventHandler;
import rosespread.config.ConfigException;

/** The simulator's field names, and its names of the values that are enums in the policy's API. */
final class WireNames {
    static final String MESSAGE = "msg";
    static final String CONTROLLER = "conductorId";
    static final String PROXY = "clientLb";
    static final String NODE = "node";
    static final String ZONE = "zone";
    static final String TABLE = "tbl";
    static final String METHOD_BITS = "classBits";

    /** The weight of a listed node or of a weight entry, or the usual RPC rate of a proxy. */
    static final String WEIGHT = "w";

    /** The acknowledgement token. */
    static final String REVISION = "rev";

    static final String ACTIVE = "active";
    static final String COUNT = "count";

    /** A latency in seconds: that of an acknowledgement, or the mean latency of RPCs. */
    static final String LATENCY = "costTime";

    /** The period that a report covers, in seconds. */
    static final String REPORT_PERIOD = "covers";

    static final String TEXT = "reasonText";

    private WireNames() {}

    /** The result of a health check; {@code FAILED} for an unknown name. */
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
     * @throws ConfigException if the name is unknown
     */
    static EventHandler.NodeListKind nodeListKind(String name) throws ConfigException {
        return switch (name) {
            case "Partial" -> EventHandler.NodeListKind.INCREMENTAL;
            case "Complete" -> EventHandler.NodeListKind.FULL;
            case "Persisted" -> EventHandler.NodeListKind.CACHED;
            case "Error" -> EventHandler.NodeListKind.UNAVAILABLE;
            default ->
                    throw new ConfigException(
                            "unknown node list kind \""
                                    + name
                                    + "\", expected Partial, Complete, Persisted or Error");
        };
    }

    /**
     * The state of a listed node.
     *
     * @throws ConfigException if the name is unknown
     */
    static EventHandler.NodeState nodeState(String name) throws ConfigException {
        return switch (name) {
            case "ready" -> EventHandler.NodeState.READY;
            case "draining" -> EventHandler.NodeState.DRAINING;
            case "gone" -> EventHandler.NodeState.GONE;
            default ->
                    throw new ConfigException(
                            "unknown node state \""
                                    + name
                                    + "\", expected ready, draining or gone");
        };
    }
}
