package rosespread.scenario;

import rosespread.channel.Frame;

/**
 * Checks that the entries queued for a controller's channel, including those in transit on a slow
 * link, stay within the channel's queue limit. Values in entries. Confined to the loop's thread.
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
     * Checks the queue length when a message arrives.
     *
     * @param onLink entries in transit on the controller's link
     */
    void messageArrived(long nanos, String controller, Frame.Mark mark, double onLink) {
        result.countCheck();
        double queued = mark.waiting() + onLink;
        String where = controller + " at " + timeline.describe(nanos);
        result.recordValue(queued, where);
        if (queued > result.limit()) {
            result.recordViolation(where + ": " + (long) queued + " entries waiting");
        }
    }
}
