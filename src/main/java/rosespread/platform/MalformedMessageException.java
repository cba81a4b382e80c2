package rosespread.platform;

import java.util.Optional;

/**
 * Signals a message that was parsed but can't be used. A rejection sends the exception's text to
 * the peer. It has no stack trace, as a peer can cause any number of them.
 */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why a message can't be used; few enough for a counter each. */
    enum Reason {
        /** The kind of message is unknown. */
        KIND,
        /** A field has no value, or a field is repeated. */
        PAIRS,
        /** A required field is missing. */
        MISSING,
        /** A value is not of the field's type. */
        TYPE,
        /** A value is out of range. */
        RANGE,
        /** The message names an unknown proxy, zone, method or node. */
        UNKNOWN,
        /** The peer may not send this kind of message, or not at this time. */
        PLACE
    }

    private final Reason reason;
    private final String field;

    /** Creates an exception for a message that is invalid as a whole. */
    MalformedMessageException(Reason reason, String detail) {
        this(reason, null, detail);
    }

    /** Creates an exception for one invalid field. */
    MalformedMessageException(Reason reason, String field, String detail) {
        super(detail, null, false, false);
        this.reason = reason;
        this.field = field;
    }

    Reason reason() {
        return reason;
    }

    /** The invalid field; empty if the message is invalid as a whole. */
    Optional<String> field() {
        return Optional.ofNullable(field);
    }
}
