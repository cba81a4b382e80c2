package rosespread.resp;

import java.util.List;
import java.util.function.Consumer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import rosespread.codec.ByteBudget;
import rosespread.codec.MessageParser;
import rosespread.codec.StreamCodecFactory;

/**
 * A MINA codec for RESP2. Received messages are delivered as {@code List<String>}; messages to send
 * are {@code byte[]}, already encoded by {@link RespWriter}.
 *
 * <p>The stream may be split at any byte. Messages before a malformed one are still delivered; then
 * the decoder throws {@link RespException} once and discards all further bytes. Each session has
 * its own parser, used only on the session's I/O thread.
 */
public final class RespCodec extends StreamCodecFactory<List<String>> {
    private static final AttributeKey PARSER = new AttributeKey(RespCodec.class, "parser");

    private final RespLimits limits;

    /**
     * Creates a codec whose sessions start with these limits. The incomplete messages of all
     * sessions together are limited too.
     */
    public RespCodec(RespLimits limits) {
        super(ByteBudget.shared());
        this.limits = limits;
    }

    /**
     * Changes a session's limits from the next byte on. Must be called on the session's I/O thread,
     * after the session has received its first byte.
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
