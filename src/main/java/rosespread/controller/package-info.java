/**
 * The controller on the project's own channel: it brings proxies' reports, node lists, health
 * checks and operators' acts to the routing policy, and the policy's actions to proxies as
 * versioned tables.
 *
 * <p>{@link rosespread.controller.Controller} is the running one, with threads and sockets; {@link
 * rosespread.controller.ControllerState} is the same without. {@link
 * rosespread.controller.TableUpdateWriter} takes a round's actions, which are validated, committed
 * in the {@link rosespread.controller.TableRegistry} and sent through the paced channel.
 *
 * <p>Threads: all state belongs to one event-loop thread, which alone calls the policy and never
 * blocks. I/O threads ({@code ChannelServer}, {@code NodeClients}, {@code PeerDrainPoller}) only
 * enqueue events; other threads reach the state through {@code EventLoopCaller}. The settings in
 * force ({@code SettingsHolder}) can be read by any thread.
 *
 * <p>It uses the packages {@code api}, {@code policy}, {@code eventloop}, {@code channel}, {@code
 * http}, {@code discovery}, {@code settings}, {@code table}, {@code store}, {@code drain} and
 * {@code validation}, and none above them; the architecture test holds that.
 */
package rosespread.controller;
