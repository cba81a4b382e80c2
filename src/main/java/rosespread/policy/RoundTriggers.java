package rosespread.policy;

/**
 * Records which work the next round must do besides deliveries. Events and new shards set these
 * records, the round resets them.
 */
final class RoundTriggers {
    private boolean planNeeded;
    private boolean evaluationNeeded;
    private boolean nodeListLost;

    /** Requires a new plan of the weights. */
    void requirePlan() {
        planNeeded = true;
    }

    /** Whether a new plan of the weights is required. */
    boolean planNeeded() {
        return planNeeded;
    }

    /** Returns whether a new plan of the weights is required, and resets the requirement. */
    boolean takePlanNeeded() {
        boolean taken = planNeeded;
        planNeeded = false;
        return taken;
    }

    /** Requires a new evaluation of load and health. */
    void requireEvaluation() {
        evaluationNeeded = true;
    }

    /** Whether a new evaluation of load and health is required. */
    boolean evaluationNeeded() {
        return evaluationNeeded;
    }

    /** Returns whether a new evaluation is required, and resets the requirement. */
    boolean takeEvaluationNeeded() {
        boolean taken = evaluationNeeded;
        evaluationNeeded = false;
        return taken;
    }

    /** Records that the watch of the endpoint list was lost. */
    void nodeListLost() {
        nodeListLost = true;
    }

    /** Returns whether the watch of the endpoint list was lost, and resets this record. */
    boolean takeNodeListLost() {
        boolean taken = nodeListLost;
        nodeListLost = false;
        return taken;
    }
}
