package rosespread.adapter;

import rosespread.api.EventHandler;
import rosespread.config.ConfigException;

/** The simulator's words for what happened and what is listed. */
final class WireNames {
    private WireNames() {}

    static EventHandler.HealthCheckResult healthCheckResult(String name) {
        return switch (name) {
            case "delivered" -> EventHandler.HealthCheckResult.PASSED;
            case "shed" -> EventHandler.HealthCheckResult.REJECTED;
            case "expired" -> EventHandler.HealthCheckResult.TIMED_OUT;
            case "dial_failed", "dropped" -> EventHandler.HealthCheckResult.UNREACHABLE;
            default -> EventHandler.HealthCheckResult.FAILED;
        };
    }

    static EventHandler.NodeListKind nodeListKind(String name) throws ConfigException {
        return switch (name) {
            case "Partial" -> EventHandler.NodeListKind.INCREMENTAL;
            case "Complete" -> EventHandler.NodeListKind.FULL;
            case "Persisted" -> EventHandler.NodeListKind.CACHED;
            case "Error" -> EventHandler.NodeListKind.UNAVAILABLE;
            default -> throw new ConfigException("no list is of kind \"" + name + "\"");
        };
    }

    static EventHandler.NodeState nodeState(String name) throws ConfigException {
        return switch (name) {
            case "ready" -> EventHandler.NodeState.READY;
            case "draining" -> EventHandler.NodeState.DRAINING;
            case "gone" -> EventHandler.NodeState.GONE;
            default -> throw new ConfigException("no node is \"" + name + "\"");
        };
    }
}
