/**
 * The controller on the simulator's wire: batches of events as lines of JSON on standard input, and
 * replies with the policy's actions on standard output. The simulator's names for messages, fields
 * and values are known to this package alone.
 *
 * <p>It uses {@code rosespread.api}, {@code rosespread.config} and {@code rosespread.policy}, and
 * of Jackson only the streaming part, as the program is started often and must start quickly. All
 * of it runs on one thread; time is the simulator's.
 */
package rosespread.adapter;
