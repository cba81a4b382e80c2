package rosespread.resp;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderAdapter;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.apache.mina.filter.codec.ProtocolEncoderAdapter;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;

/**
 * The codec of RESP2 for MINA. Received messages are passed on as {@code List<String>}; messages to
 * be sent come as {@code byte[]}, encoded already by {@link RespWriter}.
 *
 * <p>The stream may be cut at any byte. Messages before a malformed one are still passed on; then
 * the decoder throws {@link RespException} once and discards all that follows. Each session has its
 * own decoder, used on its I/O thread only.
 */
public final class RespCodec implements ProtocolCodecFactory {
    private static final AttributeKey DECODER = new AttributeKey(RespCodec.class, "decoder");

    private final RespLimits limits;

    /** A codec whose sessions start with these limits. */
    public RespCodec(RespLimits limits) {
        this.limits = limits;
    }

    /**
     * Gives a session other limits, from the next bytes on. To be called on the session's I/O
     * thread, after the first byte was received.
     */
    public static void setLimits(IoSession session, RespLimits limits) {
        ((Decoder) session.getAttribute(DECODER)).parser.setLimits(limits);
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return new Encoder();
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        Decoder decoder = (Decoder) session.getAttribute(DECODER);
        if (decoder == null) {
            decoder = new Decoder(limits);
            session.setAttribute(DECODER, decoder);
        }
        return decoder;
    }

    private static final class Encoder extends ProtocolEncoderAdapter {
        @Override
        public void encode(IoSession session, Object message, ProtocolEncoderOutput out) {
            out.write(IoBuffer.wrap((byte[]) message));
        }
    }

    private static final class Decoder extends ProtocolDecoderAdapter {
        private final Queue<List<String>> parsed = new ArrayDeque<>();
        private final RespParser parser;
        private boolean failed;

        Decoder(RespLimits limits) {
            parser = new RespParser(limits, parsed::add);
        }

        @Override
        public void decode(IoSession session, IoBuffer in, ProtocolDecoderOutput out)
                throws RespException {
            if (failed) {
                in.skip(in.remaining());
                return;
            }
            try {
                parser.feed(in.buf());
            } catch (RespException e) {
                failed = true;
                throw e;
            } finally {
                passOn(out);
            }
        }

        private void passOn(ProtocolDecoderOutput out) {
            List<String> message = parsed.poll();
            while (message != null) {
                out.write(message);
                message = parsed.poll();
            }
        }
    }
}
