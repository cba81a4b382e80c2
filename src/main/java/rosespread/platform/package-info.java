/**
 * The controller for the platform's protocol: configuration and its reload, streams of proxies and
 * collectors, weight updates, discovery and health checks. It is the only package that knows that
 * protocol; {@link rosespread.policy.RoutingPolicy} makes every decision.
 *
 * <p>Threads and the state that they own:
 *
 * <ul>
 *   <li>The event-loop thread ({@code decisions}) owns {@link rosespread.platform.PlatformState}
 *       and everything reachable from it: sessions, node directory, update writer, statistics. It
 *       alone calls the policy, and it never blocks.
 *   <li>MINA's I/O threads own {@link rosespread.platform.PeerConnection} and decode and validate
 *       messages; each valid message is passed to the event loop as one event.
 *   <li>The timer thread closes connections that did not join within the join timeout, and retries
 *       polls of discovery; {@link rosespread.platform.DiscoveryWatch} and {@link
 *       rosespread.platform.ConfigReloader} guard their state by their own monitors.
 *   <li>{@link rosespread.platform.PlatformMetrics} may be written by any thread.
 * </ul>
 *
 * <p>The configuration file is the only file on disk that the package uses. May use {@code resp},
 * {@code config}, {@code eventloop}, {@code discovery}, {@code http}, {@code api} and {@code
 * policy}.
 */
package rosespread.platform;
