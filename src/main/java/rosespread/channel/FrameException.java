package rosespread.channel;

import rosespread.codec.MalformedStreamException;

/** Thrown when received bytes violate the channel protocol (docs/channel.md). */
public final class FrameException extends MalformedStreamException {
    private static final long serialVersionUID = 1L;

    FrameException(long offset, String message) {
        super(offset, message);
    }

    /** The reason with which the receiver closes the stream. */
    public Frame.Reason reason() {
        return Frame.Reason.BAD_FRAME;
    }
}
