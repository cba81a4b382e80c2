package rosespread.codec;

import java.nio.ByteBuffer;

/**
 * An incremental parser of one byte stream. It holds the state between reads, so it serves a single
 * stream and a single thread, and it hands every complete message to the consumer it was built
 * with.
 */
public interface MessageParser {
    /**
     * Consumes all remaining bytes of the buffer, which may end anywhere within a message.
     *
     * @throws MalformedStreamException if the bytes break the protocol; the parser must not be fed
     *     again after that
     */
    void feed(ByteBuffer in) throws MalformedStreamException;

    /**
     * Signals that the stream has ended. By default an unfinished message is dropped.
     *
     * @throws MalformedStreamException if the protocol forbids the stream to end here
     */
    default void end() throws MalformedStreamException {}
}
