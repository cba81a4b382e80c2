package rosespread.scenario;

import rosespread.channel.Frame;

/**
 * Never more entries wait for a controller's channel than its limit, those on their way over a slow
 * link included. Values in entries. Confined to the loop's thread.
 */
final class QueueLengthInvariant {
    private final InvariantResult result;
    private final RunTimeline timeline;

    QueueLengthInvariant(Scenario scenario, RunTimeline timeline) {
        this.result = new InvariantResult("shortQueue", scenario.channel().queueLimit());
        this.timeline = timeline;
    }

    InvariantResult result() {
        return result;
    }

    /**
     * A message came.
     *
     * @param onLink entries on their way over the controller's link
     */
    void messageArrived(long nanos, String controller, Frame.Mark mark, double onLink) {
        result.countCheck();
        double queued = mark.waiting() + onLink;
        String where = controller + " at " + timeline.describe(nanos);
        result.recordValue(queued, where);
        if (queued > result.limit()) {
            result.recordViolation(where + ": " + (long) queued + " lines waiting");
        }
    }
}
