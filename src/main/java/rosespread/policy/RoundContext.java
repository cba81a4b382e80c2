package rosespread.policy;

import rosespread.api.PolicyActions;

/**
 * Context of one round: the clock reading at which the round is decided and the writer of the
 * round's actions.
 */
final class RoundContext {
    private final long now;
    private final PolicyActions actions;
    private boolean deliveryWaiting;

    /**
     * @param now clock reading in nanoseconds
     * @param actions receives the round's actions in order
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

    /** Records that a delivery did not fit in the channel budget of this round. */
    void deliveryWaits() {
        deliveryWaiting = true;
    }

    /**
     * Whether a delivery did not fit in the channel budget of this round, so that full tables must
     * leave room for the delivery.
     */
    boolean deliveryWaiting() {
        return deliveryWaiting;
    }
}
