/**
 * Scripted fault scenarios on loopback: their definition, the run, the invariant checks and the
 * report.
 *
 * <p>{@link rosespread.scenario.ScenarioRun} starts controllers as processes of their own and plays
 * a scenario's day with the fakes of {@code rosespread.testbed}. {@code InvariantChecker} judges
 * the contract's rules, one class each, from what the fakes' ends of the sockets saw; {@link
 * rosespread.scenario.Report} holds what came of it. Faults are begun by {@code FaultInjector},
 * what waits for a process or an answer runs in {@code ControllerFaults} and {@code
 * OperatorActions}.
 *
 * <p>Fakes, checker and report belong to the loop's thread ({@code TestLoop}) while a run lasts.
 * The package may use {@code testbed}, {@code http}, {@code channel}, {@code settings} and {@code
 * api}; it never touches a controller but through its sockets and its process.
 */
package rosespread.scenario;
