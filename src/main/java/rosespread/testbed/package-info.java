/**
 * Fakes of a controller's environment: nodes, the endpoint list, proxies and open-loop clients, on
 * real loopback sockets.
 *
 * <p>Fakes use the published protocols: HTTP/1.1 with load metrics in the nodes' answers, Consul's
 * health endpoint with blocking queries, and the project's channel as a proxy. {@link
 * rosespread.testbed.SiteDefinition} defines their properties; {@link
 * rosespread.testbed.TrafficRecorder} receives the events that they observe.
 *
 * <p>All state belongs to the one thread of {@link rosespread.testbed.TestLoop}; I/O threads only
 * hand events over to it. The package may use {@code channel}, {@code table}, {@code http}, {@code
 * discovery} and {@code api}.
 */
package rosespread.testbed;
