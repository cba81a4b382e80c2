package rosespread.platform;

/** A message that was read but can't be used; told by reason and field. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why, few enough to be counted each for itself. */
    enum Reason {
        KIND,
        PAIRS,
        MISSING,
        TYPE,
        RANGE,
        UNKNOWN,
        PLACE
    }

    private final Reason reason;

    MalformedMessageException(Reason reason, String detail) {
        super(detail, null, false, false);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
