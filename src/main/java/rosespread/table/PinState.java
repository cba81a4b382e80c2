package rosespread.table;

/**
 * Whether a table follows the routing policy or is pinned by an operator. Names are stored and
 * reported by the control API and must not change.
 */
public enum PinState {
    /** The table follows the routing policy, whose changes pass validation. */
    NONE,
    /** The last accepted entries stay until the routing policy's weights pass validation. */
    REFUSED,
    /** An operator pinned the table or rolled it back. */
    PINNED,
    /**
     * An operator released the table: its weights change in steps from the pinned weights to those
     * of the routing policy.
     */
    RELEASING;

    /**
     * Returns the state to store: {@link #REFUSED} is stored as {@link #NONE}, as weights are
     * validated again after a restart.
     */
    public PinState persisted() {
        return this == REFUSED ? NONE : this;
    }
}
