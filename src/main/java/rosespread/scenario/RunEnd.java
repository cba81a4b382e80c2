package rosespread.scenario;

/** Whether a run is over. Safe for use by several threads. */
final class RunEnd {
    private volatile boolean ended;

    void markEnded() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }
}
