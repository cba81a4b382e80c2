/**
 * Scripted fault scenarios on loopback: their definition, the run, the invariant checks and the
 * report.
 *
 * <p>{@link rosespread.scenario.ScenarioRun} starts controllers as separate processes and runs a
 * scenario with the fakes of {@code rosespread.testbed}. {@code InvariantChecker} checks the
 * invariants, one class each, from the traffic observed at the fakes' ends of the sockets; {@link
 * rosespread.scenario.Report} holds the results. {@code FaultInjector} starts and ends faults;
 * actions that wait for a process or a response run in {@code ControllerFaults} and {@code
 * OperatorActions}.
 *
 * <p>Fakes, checker and report are confined to the loop's thread ({@code TestLoop}) during a run.
 * The package may use {@code testbed}, {@code http}, {@code channel}, {@code settings} and {@code
 * api}; it accesses a controller only through its sockets and its process.
 */
package rosespread.scenario;
