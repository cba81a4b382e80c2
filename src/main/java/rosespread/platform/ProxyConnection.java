package rosespread.platform;

/** A proxy's connection as the event loop sees it; nothing here blocks. */
interface ProxyConnection {
    /** Queues a message; the array must not be changed afterwards. */
    void write(byte[] message);

    /** Bytes queued that the peer has not taken yet. */
    long writeBufferBytes();

    /** Closes it at once; what is queued is lost. */
    void close();
}
