package rosespread.controller;

import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.api.PolicyEvent;
import rosespread.eventloop.PolicyEventLogger;

/**
 * Logs changes of the policy's modes, and when tables are refused, pinned or follow the policy
 * again. The text of the last change is part of the status ({@code lastMode}), so the texts of the
 * policy and of table acts belong to the control API.
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

    /** Logs that a table was refused or pinned, or follows the policy again. */
    void report(String change) {
        last = change;
        LOG.atInfo().addKeyValue("mode", true).log(change);
    }

    /** Returns the text of the last change logged, empty if there was none. */
    String last() {
        return last;
    }
}
