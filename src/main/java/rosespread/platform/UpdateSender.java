package rosespread.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.ProxyId;

/**
 * Writes the updates of a round to the sessions. Proxies that get the same update share its encoded
 * bytes, as all updates of a round carry the same token. Owned by the event-loop thread.
 */
final class UpdateSender {
    private static final Logger LOG = LoggerFactory.getLogger(UpdateSender.class);

    /**
     * Limit on the bytes queued for a proxy. A proxy with more queued bytes is disconnected, as it
     * does not read updates as fast as they are sent and its queue would grow without bound.
     */
    private static final long MAX_WRITE_BUFFER_BYTES = 512L << 10;

    /** The protocol's acknowledgement tokens are 16 bits wide. */
    private static final int TOKEN_COUNT = 1 << 16;

    private final ProxySessions sessions;
    private final UpdateEncoder encoder;
    private int token;
    private long messages;
    private long bytes;

    UpdateSender(ProxySessions sessions, UpdateEncoder encoder) {
        this.sessions = sessions;
        this.encoder = encoder;
    }

    /**
     * Starts sending a round's updates. Each round uses a token from this sender's own counter,
     * because the policy's tokens start over when the policy restarts. So an acknowledgement meant
     * for an earlier policy matches no pending token.
     */
    PlatformUpdateWriter.UpdateSink startRound(long now) {
        token = (token + 1) % TOKEN_COUNT;
        Map<List<UpdatePart>, byte[]> encoded = new HashMap<>();
        return (proxy, parts, policyToken) -> {
            byte[] message = encoded.computeIfAbsent(parts, same -> encode(same, policyToken));
            send(proxy, message, policyToken, now);
        };
    }

    private byte[] encode(List<UpdatePart> parts, int policyToken) {
        return encoder.encode(parts, policyToken < 0 ? UpdateEncoder.NO_TOKEN : token);
    }

    private void send(ProxyId proxy, byte[] message, int policyToken, long now) {
        ProxySession session = sessions.find(proxy);
        long buffered = session.connection().writeBufferBytes();
        if (buffered > MAX_WRITE_BUFFER_BYTES) {
            LOG.atWarn()
                    .addKeyValue("proxy", proxy.value())
                    .addKeyValue("writeBufferBytes", buffered)
                    .log("slow consumer disconnected");
            session.connection().close();
            return;
        }
        if (policyToken >= 0) {
            session.pending().add(token, policyToken, now);
        }
        messages++;
        bytes += message.length;
        session.connection().write(message);
    }

    /** The number of messages written so far. */
    long messages() {
        return messages;
    }

    /** The number of bytes written so far. */
    long bytes() {
        return bytes;
    }
}
