/**
 * Persists tables, pins and drains: an append-only log that is forced to the disk before a proxy
 * can learn of what it holds ({@link rosespread.store.TableStore}), and its replay at a start
 * ({@link rosespread.store.LogReplay}). docs/versions.md gives the file's form, which is stored
 * data.
 *
 * <p>May use {@code table}, {@code drain} and {@code api}. The event loop appends; one thread of
 * the store's own writes and forces. Faults of the disk are never thrown at the event loop: {@link
 * rosespread.store.TableLog#fault} tells them.
 */
package rosespread.store;
