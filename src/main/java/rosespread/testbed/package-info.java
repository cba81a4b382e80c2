/**
 * Fakes of what surrounds a controller: nodes, the endpoint list, proxies and open-loop clients, on
 * real loopback sockets.
 *
 * <p>Fakes speak the published protocols: HTTP/1.1 with load metrics in the nodes' answers,
 * Consul's health endpoint with blocking queries, and the project's channel as a proxy. {@link
 * rosespread.testbed.SiteDefinition} says what they are like, {@link
 * rosespread.testbed.TrafficRecorder} takes what they see.
 *
 * <p>All state belongs to the one thread of {@link rosespread.testbed.TestLoop}; I/O threads only
 * hand events over to it. The package may use {@code channel}, {@code table}, {@code http}, {@code
 * discovery} and {@code api}.
 */
package rosespread.testbed;
