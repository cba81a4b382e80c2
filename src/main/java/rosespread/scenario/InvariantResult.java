package rosespread.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * What a run showed of one invariant: how often it could have been broken, the worst value, and the
 * first violations. Written on the loop's thread; read after the run.
 */
final class InvariantResult {
    /** How an invariant fared over a run. */
    enum Verdict {
        /** There were occasions to break it, and none did. */
        KEPT,
        /** At least one occasion broke it. */
        BROKEN,
        /** There was no occasion to break it, so nothing can be said. */
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
     * @param limit the bound of its values, in the invariant's own unit; 0 where it has none
     */
    InvariantResult(String name, double limit) {
        this.name = name;
        this.limit = limit;
    }

    /** Counts an occasion on which the invariant could have been broken. */
    void countCheck() {
        countChecks(1);
    }

    /** Counts several such occasions. */
    void countChecks(long occasions) {
        checked += occasions;
    }

    /** Keeps the value and where it was measured if it is the worst so far. */
    void recordValue(double value, String where) {
        if (value > worst) {
            worst = value;
            worstAt = where;
        }
    }

    /** Counts a violation and keeps its text if it is among the first. */
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

    /** Where the worst value was measured; empty if no value was above 0. */
    String worstAt() {
        return worstAt;
    }

    /** The first violations in order of time; empty if there was none. */
    List<String> violations() {
        return List.copyOf(violations);
    }
}
