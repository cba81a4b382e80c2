/**
 * Checks between the routing policy and the channel: whether a change of a table may be rolled out
 * ({@link rosespread.validation.TableChangeValidator}), how much may be sent beside what the policy
 * orders ({@link rosespread.validation.ChannelCapacity}), and how long a message waits for the disk
 * ({@link rosespread.validation.DurabilityTimeout}).
 *
 * <p>May use {@code rosespread.api} alone; no I/O, no clock, no threads, which an ArchUnit test
 * holds. Whatever has state is owned by the controller's event loop.
 */
package rosespread.validation;
