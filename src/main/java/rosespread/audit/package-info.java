/**
 * The audit log: every operator's act before and after it is performed, in a file whose hash chain
 * reveals later changes ({@link rosespread.audit.AuditLog}). See docs/daemon.md.
 *
 * <p>Uses no other package of the project. The log is thread-safe; writing blocks until the line is
 * on the disk, so it must not be called on the event loop.
 */
package rosespread.audit;
