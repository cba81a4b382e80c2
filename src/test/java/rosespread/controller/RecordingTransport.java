package rosespread.controller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;

/** An in-memory stream that records written frames; tests set the bytes in its write buffer. */
final class RecordingTransport implements ProxySession.Transport {
    private final List<Frame> frames = new ArrayList<>();
    private String closed;
    private long writeBufferBytes;
    private int bytes;

    @Override
    public void write(byte[] written) {
        bytes += written.length;
        try {
            new FrameReader(1 << 20, 1 << 20, frames::add).feed(ByteBuffer.wrap(written));
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public long writeBufferBytes() {
        return writeBufferBytes;
    }

    void setWriteBufferBytes(long pendingBytes) {
        writeBufferBytes = pendingBytes;
    }

    @Override
    public void close(Frame.Reason reason, String text) {
        closed = reason + ": " + text;
    }

    @Override
    public String remoteAddress() {
        return "memory";
    }

    List<Frame> frames() {
        return frames;
    }

    /** Returns the reason and text that the stream was closed with, null if it is open. */
    String closed() {
        return closed;
    }

    int bytes() {
        return bytes;
    }

    long count(Predicate<Frame> predicate) {
        return frames.stream().filter(predicate).count();
    }

    long count(Class<? extends Frame> type) {
        return count(type::isInstance);
    }

    /** Returns the last Mark; fails if there is none. */
    Frame.Mark lastMark() {
        return (Frame.Mark)
                frames.stream()
                        .filter(Frame.Mark.class::isInstance)
                        .reduce((earlier, later) -> later)
                        .orElseThrow();
    }
}
