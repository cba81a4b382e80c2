/**
 * The controller as a program for the simulator: it reads batches of events as lines of JSON from
 * standard input, and writes replies with the policy's actions to standard output. Only this
 * package uses the simulator's names of messages, fields and values.
 *
 * <p>The package depends on {@code rosespread.api}, {@code rosespread.config} and {@code
 * rosespread.policy}. It uses only the streaming API of Jackson, since the program is started often
 * and must start quickly. It runs on one thread and uses simulated time only.
 */
package rosespread.adapter;
