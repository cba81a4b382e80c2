package rosespread.codec;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.filterchain.DefaultIoFilterChainBuilder;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderAdapter;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.apache.mina.filter.codec.ProtocolEncoderAdapter;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;

/**
 * A MINA codec built from a {@link MessageParser} and a function that encodes a message.
 *
 * <p>MINA requests the decoder at every read, so each session stores its own decoder, which keeps
 * the state of the parser. After a {@link MalformedStreamException} the decoder discards all
 * further bytes; messages completed before the violation are still delivered. A session can have
 * only one such codec.
 *
 * @param <M> the messages that the parser produces
 */
public abstract class StreamCodecFactory<M> implements ProtocolCodecFactory {
    private static final AttributeKey DECODER =
            new AttributeKey(StreamCodecFactory.class, "decoder");

    private final ProtocolEncoder encoder = new MessageEncoder();
    private final ByteBudget budget;

    /**
     * Creates a codec.
     *
     * @param budget limits the incomplete messages of all sessions together; the sessions that
     *     exceed it are closed
     */
    protected StreamCodecFactory(ByteBudget budget) {
        this.budget = budget;
    }

    /**
     * Adds the filters of a server that uses this codec. What is queued for all of its sessions
     * together is limited; sessions whose peers read nothing are closed if it is exceeded.
     */
    public final void addServerFilters(DefaultIoFilterChainBuilder chain) {
        chain.addLast("budget", new WriteBudgetFilter(ByteBudget.shared()));
        chain.addLast("codec", new ProtocolCodecFilter(this));
    }

    /**
     * Creates the parser of a session at its first read.
     *
     * @param session the session; a subclass may keep the parser in one of its attributes
     * @param out receives each complete message
     */
    protected abstract MessageParser newParser(IoSession session, Consumer<M> out);

    /**
     * Encodes a message that was written to a session. Called by the writing thread.
     *
     * @throws ClassCastException if this protocol cannot carry the message
     */
    protected abstract byte[] encode(Object message);

    @Override
    public final ProtocolEncoder getEncoder(IoSession session) {
        return encoder;
    }

    @Override
    public final ProtocolDecoder getDecoder(IoSession session) {
        Object decoder = session.getAttribute(DECODER);
        if (decoder == null) {
            Queue<M> parsed = new ArrayDeque<>();
            MessageParser parser = newParser(session, parsed::add);
            ByteBudget.Holding holding = budget.open(parser::heldBytes, () -> session.closeNow());
            session.getCloseFuture().addListener(future -> holding.close());
            decoder = new MessageDecoder<>(parser, parsed, holding);
            session.setAttribute(DECODER, decoder);
        }
        return (ProtocolDecoder) decoder;
    }

    private final class MessageEncoder extends ProtocolEncoderAdapter {
        @Override
        public void encode(IoSession session, Object message, ProtocolEncoderOutput out) {
            out.write(IoBuffer.wrap(StreamCodecFactory.this.encode(message)));
        }
    }

    /** Decodes the incoming stream of one session; used by the session's I/O thread alone. */
    private static final class MessageDecoder<M> extends ProtocolDecoderAdapter {
        private final MessageParser parser;
        private final Queue<M> parsed;
        private final ByteBudget.Holding holding;
        private boolean failed;

        MessageDecoder(MessageParser parser, Queue<M> parsed, ByteBudget.Holding holding) {
            this.parser = parser;
            this.parsed = parsed;
            this.holding = holding;
        }

        @Override
        public void decode(IoSession session, IoBuffer in, ProtocolDecoderOutput out)
                throws MalformedStreamException {
            if (failed || session.isClosing()) {
                in.skip(in.remaining());
                return;
            }
            try {
                parser.feed(in.buf());
            } catch (MalformedStreamException e) {
                failed = true;
                holding.close();
                throw e;
            } finally {
                countHeldBytes();
                deliver(out);
            }
        }

        @Override
        public void finishDecode(IoSession session, ProtocolDecoderOutput out)
                throws MalformedStreamException {
            if (!failed) {
                parser.end();
            }
            deliver(out);
        }

        private void countHeldBytes() {
            if (parsed.isEmpty()) {
                holding.refresh();
            } else {
                holding.refreshAfterProgress();
            }
        }

        private void deliver(ProtocolDecoderOutput out) {
            for (M message = parsed.poll(); message != null; message = parsed.poll()) {
                out.write(message);
            }
        }
    }
}
