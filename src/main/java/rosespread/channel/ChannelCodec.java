package rosespread.channel;

import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;
import rosespread.codec.MessageParser;
import rosespread.codec.StreamCodecFactory;

/**
 * The MINA codec of the channel: {@link FrameReader} in, {@link FrameWriter} out. A session takes a
 * {@link Frame}, or a {@code byte[]} of frames that are already encoded, which lets several
 * sessions share one encoding.
 */
public final class ChannelCodec extends StreamCodecFactory<Frame> {
    private final int maxFrameBytes;
    private final int maxUnpackedBytes;

    /**
     * @param maxFrameBytes largest length field that is accepted
     * @param maxUnpackedBytes largest size of a packed frame's content; 0 to refuse packed frames
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
