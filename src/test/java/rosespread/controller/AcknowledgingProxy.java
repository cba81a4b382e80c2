package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;

/**
 * A proxy that acknowledges each message on arrival and records the table versions that it holds.
 * Fails the test if a delta does not start at the version held.
 */
final class AcknowledgingProxy implements ProxySession.Transport {
    private final ControllerFixture fixture;
    private final TreeMap<TableId, Long> versions = new TreeMap<>();
    private final ProxySession session;
    private long messageCount;
    private boolean acknowledges = true;

    /** Joins with these versions. */
    AcknowledgingProxy(ControllerFixture fixture, String name, List<Frame.Holding> held) {
        this.fixture = fixture;
        this.session = fixture.join(this, new Frame.Join(name, "a", 5, false, held));
    }

    ProxySession session() {
        return session;
    }

    /** Returns the number of messages received. */
    long messageCount() {
        return messageCount;
    }

    /** Returns the version of a table that the proxy holds; throws if it holds none. */
    long version(TableId table) {
        return versions.get(table);
    }

    void stopAcknowledging() {
        acknowledges = false;
    }

    @Override
    public void write(byte[] bytes) {
        try {
            new FrameReader(1 << 20, this::handle).feed(ByteBuffer.wrap(bytes));
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }

    private void handle(Frame frame) {
        if (frame instanceof Frame.Bind bind) {
            versions.put(bind.table(), bind.version());
        } else if (frame instanceof Frame.Lines delta) {
            assertEquals(versions.put(delta.table(), delta.to()), delta.from());
        } else if (frame instanceof Frame.Mark mark) {
            messageCount++;
            if (acknowledges) {
                fixture.receive(session, new Frame.Installed(mark.number()));
            }
        }
    }

    @Override
    public long writeBufferBytes() {
        return 0;
    }

    @Override
    public void close(Frame.Reason reason, String text) {}

    @Override
    public String remoteAddress() {
        return "memory";
    }
}
