/**
 * The single-writer event loop of a controller. I/O and timer threads put events into an {@link
 * rosespread.eventloop.EventQueue}; one thread runs an {@link rosespread.eventloop.EventLoop},
 * which applies them and then runs due rounds of the policy through a {@link
 * rosespread.eventloop.RoundScheduler}.
 *
 * <p>Only the queue may be used from several threads. Everything else, and all state that events
 * and rounds touch, belongs to the event loop's thread, so that none of it needs a lock. The
 * package uses the policy's interfaces in {@code rosespread.api} and nothing else of the project.
 */
package rosespread.eventloop;
