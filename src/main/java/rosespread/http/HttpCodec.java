package rosespread.http;

import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;
import rosespread.codec.ByteBudget;
import rosespread.codec.MessageParser;
import rosespread.codec.StreamCodecFactory;

/** The MINA codec of HTTP/1.1: decodes with {@link HttpParser}, encodes with {@link HttpWriter}. */
final class HttpCodec extends StreamCodecFactory<HttpMessage> {
    private final HttpParser.Mode mode;
    private final HttpLimits limits;

    /**
     * @param mode the kind of message that the peer sends
     * @param limits the limits on each incoming message
     * @param budget limits the incomplete messages of all sessions together
     */
    HttpCodec(HttpParser.Mode mode, HttpLimits limits, ByteBudget budget) {
        super(budget);
        this.mode = mode;
        this.limits = limits;
    }

    @Override
    protected MessageParser newParser(IoSession session, Consumer<HttpMessage> out) {
        return new HttpParser(mode, limits, out);
    }

    @Override
    protected byte[] encode(Object message) {
        return HttpWriter.bytes((HttpMessage) message);
    }
}
