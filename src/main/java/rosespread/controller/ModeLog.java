package rosespread.controller;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes of how the controller and its tables run, in the words of the policy and of table acts.
 * They are logged, and the last one is part of the status ({@code lastMode}), so their texts belong
 * to the control API.
 *
 * <p>Owned by the event-loop thread.
 */
final class ModeLog {
    private static final Logger LOG = LoggerFactory.getLogger(ModeLog.class);

    private String last = "";

    void report(String change) {
        last = change;
        LOG.atInfo().addKeyValue("mode", true).log(change);
    }

    /** Returns the last change, empty if there was none. */
    String last() {
        return last;
    }
}
