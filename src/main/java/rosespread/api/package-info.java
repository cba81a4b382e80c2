/**
 * Interface of the policy: {@link rosespread.api.PolicySettings} at the start, events in through
 * {@link rosespread.api.EventSource} and {@link rosespread.api.EventHandler}, decisions out through
 * {@link rosespread.api.PolicyActions}, and the identities used in events and decisions.
 *
 * <p>The package uses no other package of the project. All calls are made on the one thread that
 * runs the policy. Times are readings of one clock, in nanoseconds; durations are in nanoseconds.
 */
package rosespread.api;
