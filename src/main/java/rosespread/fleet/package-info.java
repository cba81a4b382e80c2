/**
 * Client of the control APIs of several controllers: sends a request to all controllers, parses the
 * responses into typed summaries and compares the summaries. The package depends on HTTP and JSON
 * but not on the controllers' own types, so that a tool also works with controllers of another
 * release.
 *
 * <p>Requests block the calling thread; all types except {@link rosespread.fleet.Fleet} and {@link
 * rosespread.fleet.StagedSettingsRollout} are immutable. Nothing here writes to standard output.
 */
package rosespread.fleet;
