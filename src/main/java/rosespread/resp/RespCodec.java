package rosespread.resp;

import java.util.List;
import java.util.function.Consumer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import rosespread.codec.MessageParser;
import rosespread.codec.StreamCodecFactory;

/**
 * The codec of RESP2 for MINA. Received messages are passed on as {@code List<String>}; messages to
 * be sent come as {@code byte[]}, encoded already by {@link RespWriter}.
 *
 * <p>The stream may be cut at any byte. Messages before a malformed one are still passed on; then
 * the decoder throws {@link RespException} once and discards all that follows. Each session has its
 * own parser, used on its I/O thread only.
 */
public final class RespCodec extends StreamCodecFactory<List<String>> {
    private static final AttributeKey PARSER = new AttributeKey(RespCodec.class, "parser");

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
        ((RespParser) session.getAttribute(PARSER)).setLimits(limits);
    }

    @Override
    protected MessageParser newParser(IoSession session, Consumer<List<String>> out) {
        RespParser parser = new RespParser(limits, out);
        session.setAttribute(PARSER, parser);
        return parser;
    }

    @Override
    protected byte[] encode(Object message) {
        return (byte[]) message;
    }
}
