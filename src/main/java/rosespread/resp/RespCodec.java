package rosespread.resp;

import java.util.ArrayDeque;
import java.util.List;
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
 * The parser as a codec of MINA: messages come in as lists of strings and leave as bytes already
 * written. The session keeps its decoder; after an error it takes nothing more.
 */
public final class RespCodec implements ProtocolCodecFactory {
    private static final String DECODER = "resp decoder";

    private final RespLimits limits;

    /**
     * @param limits the bounds that a session begins with
     */
    public RespCodec(RespLimits limits) {
        this.limits = limits;
    }

    /** Gives a session other bounds, from its next byte on. */
    public static void setLimits(IoSession session, RespLimits next) {
        ((Decoder) session.getAttribute(DECODER)).parser.setLimits(next);
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return new ProtocolEncoderAdapter() {
            @Override
            public void encode(IoSession s, Object message, ProtocolEncoderOutput out) {
                out.write(IoBuffer.wrap((byte[]) message));
            }
        };
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        Object kept = session.getAttribute(DECODER);
        if (kept == null) {
            kept = new Decoder(limits);
            session.setAttribute(DECODER, kept);
        }
        return (ProtocolDecoder) kept;
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
                for (List<String> one = parsed.poll(); one != null; one = parsed.poll()) {
                    out.write(one);
                }
            }
        }
    }
}
