/**
 * Service discovery: follows the list of nodes in Consul's health catalogue, and checks the health
 * of single nodes over HTTP.
 *
 * <p>The package uses {@code rosespread.http} and {@code rosespread.api}. Its clients hand results
 * to listeners on I/O and timer threads; listeners put them into the event loop's queue. Nothing
 * here blocks.
 */
package rosespread.discovery;
