package rosespread.codec;

import java.nio.ByteBuffer;

/**
 * An incremental parser of one byte stream. The parser keeps its state between reads, so it serves
 * a single stream and a single thread. Complete messages go to the consumer that the parser was
 * built with.
 */
public interface MessageParser {
    /**
     * Consumes all remaining bytes of the buffer, which may end anywhere within a message.
     *
     * @throws MalformedStreamException if the bytes violate the protocol; the parser must not be
     *     fed again after this exception
     */
    void feed(ByteBuffer in) throws MalformedStreamException;

    /**
     * Estimate of the memory in bytes that the incomplete message at the end of the stream needs,
     * with the overhead of its parts.
     */
    int heldBytes();

    /**
     * Signals that the stream has ended. By default an incomplete message is dropped.
     *
     * @throws MalformedStreamException if the protocol does not allow the stream to end here
     */
    default void end() throws MalformedStreamException {}
}
