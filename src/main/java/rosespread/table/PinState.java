package rosespread.table;

/** How a table's lines come about: from the module as they pass the gate, or held. */
public enum PinState {
    NONE,
    /** The last good lines stay until what the module wants passes. */
    REFUSED,
    /** An operator holds it. */
    PINNED,
    /** It goes step by step from what was held to what the module wants. */
    RELEASING;

    /** What outlives the process: a refusal is judged anew after a start. */
    public PinState lasting() {
        return this == REFUSED ? NONE : this;
    }
}
