package rosespread.controller;

import rosespread.eventloop.RoundScheduler;

/**
 * Objects that the parts of the controller share: the time of the current event, the events for the
 * policy's next round, and the counters and mode changes for the status.
 *
 * <p>Owned by the event-loop thread.
 *
 * @param clock the time of the current event
 * @param rounds takes events and timers for the policy
 * @param counters counts events since the process started
 * @param modes logs changes of the policy's modes, and when tables are refused, pinned or follow
 *     the policy again
 */
record LoopContext(
        EventClock clock, RoundScheduler rounds, ControllerCounters counters, ModeLog modes) {}
