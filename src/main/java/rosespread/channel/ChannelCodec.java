package rosespread.channel;

import java.util.ArrayDeque;
import java.util.Queue;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderAdapter;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.apache.mina.filter.codec.ProtocolEncoderAdapter;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;

/**
 * The channel's frames as a codec of MINA. What is written is a {@link Frame} or bytes of frames.
 * MINA asks for a decoder at every read, so the session keeps its own; after an error it takes
 * nothing more.
 */
public final class ChannelCodec implements ProtocolCodecFactory {
    private static final String DECODER = "frame decoder";

    private final int longest;
    private final int unpackedMost;

    /**
     * @param unpackedMost bytes to which a packed frame may come, 0 if none may come
     */
    public ChannelCodec(int longest, int unpackedMost) {
        this.longest = longest;
        this.unpackedMost = unpackedMost;
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return new ProtocolEncoderAdapter() {
            @Override
            public void encode(IoSession s, Object message, ProtocolEncoderOutput out) {
                out.write(
                        IoBuffer.wrap(
                                message instanceof Frame frame
                                        ? FrameWriter.bytes(frame)
                                        : (byte[]) message));
            }
        };
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        Object kept = session.getAttribute(DECODER);
        if (kept == null) {
            kept = decoder();
            session.setAttribute(DECODER, kept);
        }
        return (ProtocolDecoder) kept;
    }

    private ProtocolDecoder decoder() {
        Queue<Frame> read = new ArrayDeque<>();
        FrameReader reader = new FrameReader(longest, unpackedMost, read::add);
        return new ProtocolDecoderAdapter() {
            private boolean broken;

            @Override
            public void decode(IoSession s, IoBuffer in, ProtocolDecoderOutput out)
                    throws FrameException {
                if (broken) {
                    in.skip(in.remaining());
                    return;
                }
                try {
                    reader.feed(in.buf());
                } catch (FrameException e) {
                    broken = true;
                    throw e;
                } finally {
                    for (Frame frame = read.poll(); frame != null; frame = read.poll()) {
                        out.write(frame);
                    }
                }
            }
        };
    }
}
