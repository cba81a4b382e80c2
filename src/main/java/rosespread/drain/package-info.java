/**
 * Drains that operators order: the latest order for each node ({@link
 * rosespread.drain.DrainRegistry}), on which controllers agree without wall clocks, and the guard
 * against draining too much capacity ({@link rosespread.drain.DrainGuard}). See docs/daemon.md.
 *
 * <p>May depend on {@code rosespread.api} only; no I/O, no clock, no threads. An ArchUnit test
 * enforces this. The registry is owned by the controller's event loop.
 */
package rosespread.drain;
