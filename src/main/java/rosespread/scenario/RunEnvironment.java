package rosespread.scenario;

import java.util.List;
import rosespread.testbed.FakeNodeList;
import rosespread.testbed.FakeNodes;
import rosespread.testbed.FakeProxies;
import rosespread.testbed.TestLoop;

/**
 * The parts of a run that faults and operators act on. Fakes, checker and report are used on the
 * loop's thread only; {@link #hasEnded} and {@link #elapsedNanos} may be called on any thread.
 *
 * @param measurementStartNanos the start of the measurement on the loop's clock
 */
record RunEnvironment(
        Scenario scenario,
        long seed,
        TestLoop loop,
        FakeNodeList list,
        FakeNodes nodes,
        FakeProxies proxies,
        List<ControllerProcess> controllers,
        InvariantChecker checker,
        Report report,
        long measurementStartNanos,
        RunEnd end) {

    /** Adds an event to the report at the current time. Called on the loop's thread. */
    void event(String description) {
        report.event(loop.now(), description);
    }

    /** Adds an event to the report on the loop's thread, later. May be called on any thread. */
    void eventLater(String description) {
        loop.run(() -> event(description));
    }

    /** Nanoseconds since the start of the measurement. */
    long elapsedNanos() {
        return loop.now() - measurementStartNanos;
    }

    boolean hasEnded() {
        return end.hasEnded();
    }
}
