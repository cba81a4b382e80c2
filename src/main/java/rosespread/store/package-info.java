/**
 * Persists tables, pins and drains: an append-only log whose entries are forced to the disk before
 * a proxy can receive them ({@link rosespread.store.TableStore}), and its replay at a start ({@link
 * rosespread.store.LogReplay}). The file format is stored data; docs/versions.md specifies it.
 *
 * <p>May use {@code table}, {@code drain} and {@code api}. The event loop appends; the store's own
 * thread writes and forces. Disk faults are never thrown on the event loop: {@link
 * rosespread.store.TableLog#fault} reports them.
 */
package rosespread.store;
