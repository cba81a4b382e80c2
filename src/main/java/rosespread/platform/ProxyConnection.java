package rosespread.platform;

/** A proxy's connection as the event loop uses it; no method blocks. */
interface ProxyConnection {
    /** Queues a message; the array must not be changed afterwards. */
    void write(byte[] message);

    /** Bytes queued but not written to the socket yet. */
    long writeBufferBytes();

    /** Closes the connection at once; queued messages are lost. */
    void close();
}
