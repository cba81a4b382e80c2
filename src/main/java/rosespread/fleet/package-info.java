/**
 * Client side of the control API for several controllers at once: sends one request to all of them,
 * reads their responses into typed summaries and compares these. The package knows HTTP and JSON
 * and nothing of the controllers' own types, so that a tool also works against controllers of
 * another release.
 *
 * <p>Requests block the calling thread; all types except {@link rosespread.fleet.Fleet} and {@link
 * rosespread.fleet.StagedSettingsRollout} are immutable. Nothing here writes to standard output.
 */
package rosespread.fleet;
