package rosespread.controller;

import rosespread.api.EventSource;

/**
 * Makes the routing decisions: {@link rosespread.policy.RoutingPolicy}, or a deliberately worse
 * policy in experiments. Called on the event-loop thread. A policy that throws is replaced by a new
 * one.
 */
@FunctionalInterface
public interface Policy {
    /**
     * Makes the decisions of one round.
     *
     * @param now the current time by {@link System#nanoTime()}
     * @param events the events since the last round
     * @param actions receives the decisions
     */
    void round(long now, EventSource events, TableUpdateWriter actions);
}
