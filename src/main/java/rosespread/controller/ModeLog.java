package rosespread.controller;

import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.api.PolicyEvent;
import rosespread.eventloop.PolicyEventLogger;

/**
 * Logs changes in how the controller and its tables run, with the texts of the policy and of table
 * acts. The last change is part of the status ({@code lastMode}), so the texts belong to the
 * control API.
 *
 * <p>Owned by the event-loop thread.
 */
final class ModeLog {
    private static final Logger LOG = LoggerFactory.getLogger(ModeLog.class);

    private final PolicyEventLogger events;
    private String last = "";

    /**
     * @param nodeNames returns the name by which operators know a node
     */
    ModeLog(Function<NodeId, String> nodeNames) {
        events = new PolicyEventLogger(LOG, nodeNames);
    }

    /** Logs a change of one of the policy's modes. */
    void report(PolicyEvent event) {
        last = event.text();
        events.log(event);
    }

    /** Logs a change in how a table follows the policy. */
    void report(String change) {
        last = change;
        LOG.atInfo().addKeyValue("mode", true).log(change);
    }

    /** Returns the last change, empty if there was none. */
    String last() {
        return last;
    }
}
