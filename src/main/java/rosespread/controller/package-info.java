/**
 * The controller for the project's own channel protocol: passes load reports, node lists, health
 * check results and operators' acts to the routing policy, and sends the policy's decisions to
 * proxies as versioned tables.
 *
 * <p>{@link rosespread.controller.Controller} runs with threads and sockets; {@link
 * rosespread.controller.ControllerState} is the same controller without them. {@link
 * rosespread.controller.TableUpdateWriter} takes a round's actions; table changes are validated,
 * committed in the {@link rosespread.controller.TableRegistry} and sent through the paced channel.
 *
 * <p>Threads: all state belongs to one event-loop thread, which alone calls the policy and never
 * blocks. I/O threads ({@code ChannelServer}, {@code NodeClients}, {@code PeerDrainPoller}) only
 * enqueue events; other threads access the state through {@code EventLoopCaller}. The settings in
 * force ({@code SettingsHolder}) can be read by any thread.
 *
 * <p>Depends on the packages {@code api}, {@code policy}, {@code eventloop}, {@code channel},
 * {@code http}, {@code discovery}, {@code settings}, {@code table}, {@code store}, {@code drain}
 * and {@code validation}, and on none above them; the architecture test checks this.
 */
package rosespread.controller;
