/**
 * Drains that operators order: what holds for each node ({@link rosespread.drain.DrainRegistry}),
 * agreed upon between controllers without wall clocks, and the guard against draining too much
 * ({@link rosespread.drain.DrainGuard}). See docs/daemon.md.
 *
 * <p>May use {@code rosespread.api} alone; no I/O, no clock, no threads, which an ArchUnit test
 * holds. The registry is owned by the controller's event loop.
 */
package rosespread.drain;
