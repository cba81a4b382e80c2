package rosespread.scenario;

import java.util.List;
import rosespread.testbed.FakeNodeList;
import rosespread.testbed.FakeNodes;
import rosespread.testbed.FakeProxies;
import rosespread.testbed.TestLoop;

/**
 * The parts of a run that faults and operators act on. Fakes, checker and report are touched on the
 * loop's thread only; {@link #hasEnded} and {@link #elapsedNanos} are for any thread.
 *
 * @param measurementStartNanos on the loop's clock
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

    /** Adds an event to the report, now. On the loop's thread. */
    void event(String description) {
        report.event(loop.now(), description);
    }

    /** Adds an event to the report soon, from any thread. */
    void eventLater(String description) {
        loop.run(() -> event(description));
    }

    /** Nanoseconds since the day began. */
    long elapsedNanos() {
        return loop.now() - measurementStartNanos;
    }

    boolean hasEnded() {
        return end.hasEnded();
    }
}
