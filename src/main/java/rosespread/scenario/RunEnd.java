package rosespread.scenario;

/** A flag that marks the end of a run. Safe for use by several threads. */
final class RunEnd {
    private volatile boolean ended;

    void markEnded() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }
}
