/**
 * Checks between the routing policy and the channel: whether a change of a table may be rolled out
 * ({@link rosespread.validation.TableChangeValidator}), how many messages may be sent in addition
 * to those that the policy orders ({@link rosespread.validation.ChannelCapacity}), and how long a
 * message waits for the disk ({@link rosespread.validation.DurabilityTimeout}).
 *
 * <p>May depend on {@code rosespread.api} only; no I/O, no clock, no threads. An ArchUnit test
 * enforces this. Objects with state are owned by the controller's event loop.
 */
package rosespread.validation;
