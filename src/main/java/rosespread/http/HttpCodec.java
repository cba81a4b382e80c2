package rosespread.http;

import java.util.ArrayDeque;
import java.util.Queue;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.apache.mina.filter.codec.ProtocolEncoderAdapter;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;

/**
 * The parser and the writer as a codec of MINA. MINA asks for a decoder at every read, so the
 * session keeps its own, with the parser's place; after an error it takes nothing more.
 */
final class HttpCodec implements ProtocolCodecFactory {
    private static final String DECODER = "http decoder";

    private final boolean calls;
    private final HttpLimits limits;

    HttpCodec(boolean calls, HttpLimits limits) {
        this.calls = calls;
        this.limits = limits;
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return new ProtocolEncoderAdapter() {
            @Override
            public void encode(IoSession s, Object message, ProtocolEncoderOutput out) {
                out.write(IoBuffer.wrap(HttpWriter.bytes((HttpMessage) message)));
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
        Queue<HttpMessage> parsed = new ArrayDeque<>();
        HttpParser parser = new HttpParser(calls, limits, parsed::add);
        return new ProtocolDecoder() {
            private boolean broken;

            @Override
            public void decode(IoSession s, IoBuffer in, ProtocolDecoderOutput out)
                    throws HttpException {
                if (broken) {
                    in.skip(in.remaining());
                    return;
                }
                try {
                    parser.feed(in.buf());
                } catch (HttpException e) {
                    broken = true;
                    throw e;
                } finally {
                    flush(out);
                }
            }

            @Override
            public void finishDecode(IoSession s, ProtocolDecoderOutput out) throws HttpException {
                if (!broken) {
                    parser.end();
                }
                flush(out);
            }

            @Override
            public void dispose(IoSession s) {}

            private void flush(ProtocolDecoderOutput out) {
                for (HttpMessage message = parsed.poll();
                        message != null;
                        message = parsed.poll()) {
                    out.write(message);
                }
            }
        };
    }
}
