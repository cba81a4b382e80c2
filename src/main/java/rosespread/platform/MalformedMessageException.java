package rosespread.platform;

import java.util.Optional;

/**
 * A message that was parsed but can't be used. Its message text goes to the peer in a rejection. It
 * has no stack trace, as peers can cause it at will.
 */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why; few enough to be counted each for itself. */
    enum Reason {
        /** The kind of message is not known. */
        KIND,
        /** Fields and values do not pair up, or a field is repeated. */
        PAIRS,
        /** A required field is missing. */
        MISSING,
        /** A value is not of the field's type. */
        TYPE,
        /** A value is out of range. */
        RANGE,
        /** It names a proxy, zone, method or node that is not known. */
        UNKNOWN,
        /** The peer may not send such a message, or not now. */
        PLACE
    }

    private final Reason reason;
    private final String field;

    /** The message as a whole is at fault. */
    MalformedMessageException(Reason reason, String detail) {
        this(reason, null, detail);
    }

    /** One field is at fault. */
    MalformedMessageException(Reason reason, String field, String detail) {
        super(detail, null, false, false);
        this.reason = reason;
        this.field = field;
    }

    Reason reason() {
        return reason;
    }

    /** The field at fault; empty if it is the message as a whole. */
    Optional<String> field() {
        return Optional.ofNullable(field);
    }
}
