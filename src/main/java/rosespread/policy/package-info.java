/**
 * The decisions: which node gets which weight, what is written to which proxy when, which nodes are
 * ejected or health-checked, and how much load is admitted.
 *
 * <p>{@link rosespread.policy.RoutingPolicy} is the only entry: it wires one object for each job
 * and runs them in the order of a round. Each job has its tuned values at its top, with their
 * reasons. The package reads no clock, file or socket and starts no thread; the one thread that
 * calls {@code round} owns all state.
 */
package rosespread.policy;
