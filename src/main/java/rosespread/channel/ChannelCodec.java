package rosespread.channel;

import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;
import rosespread.codec.ByteBudget;
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

    private ChannelCodec(int maxFrameBytes, int maxUnpackedBytes, ByteBudget budget) {
        super(budget);
        this.maxFrameBytes = maxFrameBytes;
        this.maxUnpackedBytes = maxUnpackedBytes;
    }

    /**
     * Creates the codec of a controller, which accepts no packed frames. The incomplete frames of
     * all its sessions together are limited.
     */
    public static ChannelCodec forController() {
        return new ChannelCodec(FrameReader.MAX_BYTES_FROM_PROXY, 0, ByteBudget.shared());
    }

    /** Creates the codec of a proxy, which accepts packed frames. */
    public static ChannelCodec forProxy() {
        return new ChannelCodec(
                FrameReader.MAX_BYTES_FROM_CONTROLLER,
                FrameReader.MAX_BYTES_FROM_CONTROLLER,
                ByteBudget.unlimited());
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
