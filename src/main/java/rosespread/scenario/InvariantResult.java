package rosespread.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * The result of one invariant over a run: the number of checks, the worst value and the first
 * violations. Written on the loop's thread; read after the run.
 */
final class InvariantResult {
    /** Whether an invariant held over a run. */
    enum Verdict {
        /** The invariant was checked at least once and never broken. */
        KEPT,
        /** The invariant was broken at least once. */
        BROKEN,
        /** The invariant was never checked, so the run shows nothing about it. */
        NOT_SEEN
    }

    private static final int MAX_VIOLATIONS_KEPT = 20;

    private final String name;
    private final double limit;
    private final List<String> violations = new ArrayList<>();
    private long violationCount;
    private long checked;
    private double worst;
    private String worstAt = "";

    /**
     * @param name the invariant's name in reports
     * @param limit the limit of its values, in the invariant's own unit; 0 if it has none
     */
    InvariantResult(String name, double limit) {
        this.name = name;
        this.limit = limit;
    }

    /** Counts one event by which the invariant could have been broken. */
    void countCheck() {
        countChecks(1);
    }

    /** Counts several events by which the invariant could have been broken. */
    void countChecks(long checks) {
        checked += checks;
    }

    /** Keeps the value and where it was measured if it is the largest so far. */
    void recordValue(double value, String where) {
        if (value > worst) {
            worst = value;
            worstAt = where;
        }
    }

    /** Counts a violation; keeps its text if it is among the first {@link #MAX_VIOLATIONS_KEPT}. */
    void recordViolation(String text) {
        violationCount++;
        if (violations.size() < MAX_VIOLATIONS_KEPT) {
            violations.add(text);
        }
    }

    Verdict verdict() {
        if (violationCount > 0) {
            return Verdict.BROKEN;
        }
        return checked == 0 ? Verdict.NOT_SEEN : Verdict.KEPT;
    }

    String name() {
        return name;
    }

    double limit() {
        return limit;
    }

    long checked() {
        return checked;
    }

    double worst() {
        return worst;
    }

    /** Returns where the worst value was measured; empty if no value was above 0. */
    String worstAt() {
        return worstAt;
    }

    /** Returns the first violations in order of time; empty if there was none. */
    List<String> violations() {
        return List.copyOf(violations);
    }
}
