package rosespread.policy;

/**
 * What the next round has to do besides delivering: set by events and by new shards, taken by the
 * round.
 */
final class RoundTriggers {
    private boolean planNeeded;
    private boolean evaluationNeeded;
    private boolean nodeListLost;

    /** The weights have to be planned again. */
    void requirePlan() {
        planNeeded = true;
    }

    /** Whether the weights have to be planned again. */
    boolean planNeeded() {
        return planNeeded;
    }

    /** Whether the weights have to be planned again; not any more after this. */
    boolean takePlanNeeded() {
        boolean taken = planNeeded;
        planNeeded = false;
        return taken;
    }

    /** Load and health have to be evaluated again. */
    void requireEvaluation() {
        evaluationNeeded = true;
    }

    /** Whether load and health have to be evaluated again. */
    boolean evaluationNeeded() {
        return evaluationNeeded;
    }

    /** Whether load and health have to be evaluated again; not any more after this. */
    boolean takeEvaluationNeeded() {
        boolean taken = evaluationNeeded;
        evaluationNeeded = false;
        return taken;
    }

    /** The endpoint list is not watched any more. */
    void nodeListLost() {
        nodeListLost = true;
    }

    /** Whether the watch of the endpoint list was lost; not any more after this. */
    boolean takeNodeListLost() {
        boolean taken = nodeListLost;
        nodeListLost = false;
        return taken;
    }
}
