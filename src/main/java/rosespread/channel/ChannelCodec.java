package rosespread.channel;

import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;
import rosespread.codec.MessageParser;
import rosespread.codec.StreamCodecFactory;

/**
 * The MINA codec of the channel: decodes with {@link FrameReader} and encodes with {@link
 * FrameWriter}. A message written to a session is a {@link Frame}, or a {@code byte[]} of encoded
 * frames, so that several sessions can share one encoding.
 */
public final class ChannelCodec extends StreamCodecFactory<Frame> {
    private final int maxFrameBytes;
    private final int maxUnpackedBytes;

    /**
     * @param maxFrameBytes longest frame that is accepted, in bytes without the length field
     * @param maxUnpackedBytes largest content of a packed frame, in bytes; 0 to reject packed
     *     frames
     */
    public ChannelCodec(int maxFrameBytes, int maxUnpackedBytes) {
        this.maxFrameBytes = maxFrameBytes;
        this.maxUnpackedBytes = maxUnpackedBytes;
    }

    @Override
    protected MessageParser newParser(IoSession session, Consumer<Frame> out) {
        return new FrameReader(maxFrameBytes, maxUnpackedBytes, out);
    }

    @Override
    protected byte[] encode(Object message) {
        return message instanceof Frame frame ? FrameWriter.bytes(frame) : (byte[]) message;
    }
}
