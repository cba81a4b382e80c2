/**
 * The single-writer event loop of a controller. I/O and timer threads put events into an {@link
 * rosespread.eventloop.EventQueue}; one thread runs an {@link rosespread.eventloop.EventLoop},
 * which handles these events and then runs the policy's due rounds through a {@link
 * rosespread.eventloop.RoundScheduler}.
 *
 * <p>Only the queue is thread-safe. All other objects, and all state that events and rounds access,
 * belong to the event loop's thread and need no lock. The package depends only on the policy's
 * interfaces in {@code rosespread.api}.
 */
package rosespread.eventloop;
