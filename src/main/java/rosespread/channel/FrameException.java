package rosespread.channel;

import rosespread.codec.MalformedStreamException;

/** Thrown when incoming bytes break the channel's protocol (docs/channel.md). */
public final class FrameException extends MalformedStreamException {
    private static final long serialVersionUID = 1L;

    private final Frame.Reason reason;

    FrameException(Frame.Reason reason, long offset, String message) {
        super(offset, message);
        this.reason = reason;
    }

    /** The reason with which the receiver closes the stream. */
    public Frame.Reason reason() {
        return reason;
    }
}
