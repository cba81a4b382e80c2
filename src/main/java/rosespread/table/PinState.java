package rosespread.table;

/**
 * What a table follows: the routing policy, as its changes pass validation, or an operator's pin.
 * Names are stored and reported by the control API and must not change.
 */
public enum PinState {
    /** The table follows the routing policy. */
    NONE,
    /** The last accepted entries stay until what the routing policy wants passes validation. */
    REFUSED,
    /** An operator pinned the table, or rolled it back. */
    PINNED,
    /** The table goes step by step from what was pinned to what the routing policy wants. */
    RELEASING;

    /** What outlives the process: a refusal is validated again after a start. */
    public PinState persisted() {
        return this == REFUSED ? NONE : this;
    }
}
