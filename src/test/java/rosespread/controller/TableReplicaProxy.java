package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosespread.api.NodeId;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;
import rosespread.table.TableDigest;

/**
 * A proxy that applies the updates of one table exactly as docs/channel.md defines them, and loses
 * deltas on request of a test. Fails the test if the version decreases or if a weight arrives that
 * validation has to refuse.
 */
final class TableReplicaProxy implements ProxySession.Transport {
    private static final double MAX_VALID_WEIGHT = 50;

    private final ControllerFixture fixture;
    private final String name;
    private final Map<NodeId, Double> weights = new HashMap<>();
    private final List<Frame> messageFrames = new ArrayList<>();
    private final List<Frame> pendingAnswers = new ArrayList<>();
    private ProxySession session;
    private long version;
    private boolean losesDeltas;
    private boolean open = true;

    /** Connects and joins. */
    TableReplicaProxy(ControllerFixture fixture, String name) {
        this.fixture = fixture;
        this.name = name;
        connect();
    }

    /** Opens a new stream and joins with the version that this proxy holds. */
    void connect() {
        messageFrames.clear();
        pendingAnswers.clear();
        open = true;
        List<Frame.Holding> held =
                version == 0
                        ? List.of()
                        : List.of(new Frame.Holding(ControllerFixture.TABLE, version));
        session = fixture.join(this, new Frame.Join(name, "a", 1, false, held));
    }

    /** Breaks the stream and joins on a new one. */
    void reconnect() {
        fixture.state().sessionClosed(fixture.nowNanos(), session);
        connect();
    }

    String name() {
        return name;
    }

    Map<NodeId, Double> weights() {
        return weights;
    }

    long version() {
        return version;
    }

    void loseDeltas(boolean loses) {
        losesDeltas = loses;
    }

    @Override
    public void write(byte[] bytes) {
        try {
            List<Frame> frames = new ArrayList<>();
            new FrameReader(1 << 20, frames::add).feed(ByteBuffer.wrap(bytes));
            frames.forEach(this::handle);
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }

    private void handle(Frame frame) {
        if (frame instanceof Frame.KeepAlive) {
            pendingAnswers.add(new Frame.KeepAlive(0, true));
        } else if (!(frame instanceof Frame.Mark mark)) {
            messageFrames.add(frame);
        } else {
            messageFrames.forEach(this::apply);
            messageFrames.clear();
            pendingAnswers.add(new Frame.Installed(mark.number()));
        }
    }

    private void apply(Frame frame) {
        if (frame instanceof Frame.Bind bind) {
            apply(bind);
        } else if (frame instanceof Frame.Lines delta && !losesDeltas) {
            apply(delta);
        }
        weights.forEach(
                (node, weight) ->
                        assertTrue(
                                weight < MAX_VALID_WEIGHT,
                                "node "
                                        + node
                                        + ": weight "
                                        + weight
                                        + ", expected below "
                                        + MAX_VALID_WEIGHT));
    }

    private void apply(Frame.Bind bind) {
        assertTrue(
                bind.version() >= version,
                "full table has version " + bind.version() + ", expected at least " + version);
        weights.clear();
        bind.lines().forEach(line -> weights.put(line.node(), line.weight()));
        version = bind.version();
        assertEquals(TableDigest.of(weights), bind.digest());
    }

    private void apply(Frame.Lines delta) {
        assertTrue(delta.to() > delta.from());
        boolean follows = delta.from() == version;
        for (Frame.Line line : delta.lines()) {
            if (line.weight() == 0) {
                weights.remove(line.node());
            } else if (follows) {
                weights.put(line.node(), line.weight());
            }
        }
        version = follows ? delta.to() : version;
        if (!follows || TableDigest.of(weights) != delta.digest()) {
            pendingAnswers.add(new Frame.Missed(ControllerFixture.TABLE, version));
        }
    }

    /** Sends the pending answers if the stream is open. */
    void sendAnswers() {
        if (!open) {
            return;
        }
        List<Frame> sent = List.copyOf(pendingAnswers);
        pendingAnswers.clear();
        sent.forEach(frame -> fixture.receive(session, frame));
    }

    @Override
    public long writeBufferBytes() {
        return 0;
    }

    @Override
    public void close(Frame.Reason reason, String text) {
        open = false;
    }

    @Override
    public String remoteAddress() {
        return name;
    }
}
