/**
 * How the decisions are called: {@link rosespread.api.PolicySettings} at the start, events in by
 * {@link rosespread.api.EventSource} and {@link rosespread.api.EventHandler}, decisions out by
 * {@link rosespread.api.PolicyActions}, and the identities that both name.
 *
 * <p>The package uses no other of the project. All calls come from the one thread that runs the
 * decisions; times are readings of one clock, and spans, in nanoseconds.
 */
package rosespread.api;
