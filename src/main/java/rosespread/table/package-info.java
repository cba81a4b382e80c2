/**
 * Versioned routing tables: an immutable version ({@link rosespread.table.TableVersion}), its
 * digest, and a table's history of limited size ({@link rosespread.table.VersionHistory}). See
 * docs/versions.md.
 *
 * <p>May use only {@code rosespread.api}; no I/O, no clock, no threads. Histories are owned by the
 * controller's event loop; versions, snapshots and digests may be shared between threads.
 */
package rosespread.table;
