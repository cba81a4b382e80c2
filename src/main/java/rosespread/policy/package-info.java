/**
 * Routing decisions: which node gets which weight, which entries are sent to which proxy and when,
 * which nodes are ejected or health-checked, and how much load is admitted.
 *
 * <p>{@link rosespread.policy.RoutingPolicy} is the only entry point: it creates one object for
 * each task and runs them in the order of a round. The constants of a task and their reasons are at
 * the top of its class. The package reads no clock, file or socket and starts no thread; the one
 * thread that calls {@code round} owns all state.
 */
package rosespread.policy;
