package rosespread.policy;

import rosespread.api.PolicyActions;

/** One round: the clock reading that it is decided at and the writer of its actions. */
final class RoundContext {
    private final long now;
    private final PolicyActions actions;
    private boolean deliveryWaiting;

    /**
     * @param now clock reading in nanoseconds
     * @param actions takes the round's actions in their order
     */
    RoundContext(long now, PolicyActions actions) {
        this.now = now;
        this.actions = actions;
    }

    /** The clock reading in nanoseconds. */
    long now() {
        return now;
    }

    /** The writer of the round's actions. */
    PolicyActions actions() {
        return actions;
    }

    /** Notes that a delivery found no room in this round. */
    void deliveryWaits() {
        deliveryWaiting = true;
    }

    /** Whether a delivery found no room in this round, so that full tables leave it some. */
    boolean deliveryWaiting() {
        return deliveryWaiting;
    }
}
