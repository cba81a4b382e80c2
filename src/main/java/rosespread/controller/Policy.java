package rosespread.controller;

import rosespread.api.EventSource;

/**
 * What decides: {@code rosespread.policy.Brain}, or in experiments something deliberately worse.
 */
@FunctionalInterface
public interface Policy {
    /** Decides one round at {@code now} in nanoseconds. */
    void round(long now, EventSource feed, TableUpdateWriter orders);
}
