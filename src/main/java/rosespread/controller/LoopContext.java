package rosespread.controller;

import rosespread.eventloop.RoundScheduler;

/**
 * What the parts of the controller share: the time of the event that is handled, the events for the
 * policy's next round, and what happened so far, for the status.
 *
 * <p>Owned by the event-loop thread.
 *
 * @param clock advanced with each event
 * @param rounds takes the policy's events and timers
 * @param counters of what happened
 * @param modes changes of how the controller runs
 */
record LoopContext(
        EventClock clock, RoundScheduler rounds, ControllerCounters counters, ModeLog modes) {}
