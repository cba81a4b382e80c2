/**
 * Service discovery: watches the list of nodes in Consul's health catalog, and checks the health of
 * single nodes over HTTP.
 *
 * <p>The package depends on {@code rosespread.http} and {@code rosespread.api}. It passes results
 * to listeners on I/O and timer threads; the listeners put them into the event loop's queue.
 * Nothing in the package blocks.
 */
package rosespread.discovery;
