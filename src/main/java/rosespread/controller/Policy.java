package rosespread.controller;

import rosespread.api.EventSource;

/**
 * What decides: {@link rosespread.policy.RoutingPolicy}, or in experiments something deliberately
 * worse. Called on the event-loop thread; one that throws is replaced by a fresh one.
 */
@FunctionalInterface
public interface Policy {
    /**
     * Decides one round.
     *
     * @param now the time by {@link System#nanoTime()}
     * @param events what happened since the last round
     * @param actions takes the decisions
     */
    void round(long now, EventSource events, TableUpdateWriter actions);
}
