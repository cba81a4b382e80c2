/**
 * The controller on the platform's own protocol: configuration, proxies' and collectors' streams
 * in, weight updates out, discovery, health checks and reload. It is the only package that knows
 * the words of that protocol; every decision is made by {@link rosespread.policy.RoutingPolicy}.
 *
 * <p>Threads, and who owns which state:
 *
 * <ul>
 *   <li>The event-loop thread ({@code decisions}) owns {@link rosespread.platform.PlatformState}
 *       and everything reachable from it: sessions, node directory, update writer, statistics. It
 *       alone calls the policy, and it never blocks.
 *   <li>MINA's I/O threads own {@link rosespread.platform.PeerConnection} and decode and validate
 *       messages; a valid message crosses to the event loop as one event.
 *   <li>The timer thread closes connections that did not join in time, and retries discovery;
 *       {@link rosespread.platform.DiscoveryWatch} and {@link rosespread.platform.ConfigReloader}
 *       guard their state by their own monitors.
 *   <li>{@link rosespread.platform.PlatformMetrics} may be written by any thread.
 * </ul>
 *
 * <p>Nothing here touches the disk but the configuration file. May use {@code resp}, {@code
 * config}, {@code eventloop}, {@code discovery}, {@code http}, {@code api} and {@code policy}.
 */
package rosespread.platform;
