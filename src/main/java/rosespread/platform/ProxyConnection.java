package rosespread.platform;

/** A proxy's stream as the decision thread sees it; nothing here blocks. */
interface ProxyConnection {
    void write(byte[] message);

    /** Bytes that the peer has not taken yet. */
    long writeBufferBytes();

    void close();
}
