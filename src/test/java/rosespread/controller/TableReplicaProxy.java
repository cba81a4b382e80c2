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
 * A proxy that follows one table to the letter of docs/channel.md, and loses deltas if a test says
 * so. It fails a test if versions go backwards or a weight comes that validation has to refuse.
 */
final class FollowingProxy implements ProxySession.Transport {
    private static final double MAX_VALID_WEIGHT = 50;

    private final ControllerFixture fixture;
    private final String name;
    private final Map<NodeId, Double> weights = new HashMap<>();
    private final List<Frame> message = new ArrayList<>();
    private final List<Frame> answers = new ArrayList<>();
    private ProxySession session;
    private long version;
    private boolean losesDeltas;
    private boolean open = true;

    /** A proxy that has joined. */
    FollowingProxy(ControllerFixture fixture, String name) {
        this.fixture = fixture;
        this.name = name;
        dial();
    }

    /** Joins by a new stream, with the version that it holds. */
    void dial() {
        message.clear();
        answers.clear();
        open = true;
        List<Frame.Holding> held =
                version == 0
                        ? List.of()
                        : List.of(new Frame.Holding(ControllerFixture.TABLE, version));
        session = fixture.join(this, new Frame.Join(name, "a", 1, false, held));
    }

    /** Its stream breaks, and it joins by a new one. */
    void redial() {
        fixture.state().sessionClosed(fixture.nowNanos(), session);
        dial();
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
            List<Frame> read = new ArrayList<>();
            new FrameReader(1 << 20, read::add).feed(ByteBuffer.wrap(bytes));
            read.forEach(this::take);
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }

    private void take(Frame frame) {
        if (frame instanceof Frame.KeepAlive) {
            answers.add(new Frame.KeepAlive(0, true));
        } else if (!(frame instanceof Frame.Mark mark)) {
            message.add(frame);
        } else {
            message.forEach(this::apply);
            message.clear();
            answers.add(new Frame.Installed(mark.number()));
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
                        assertTrue(weight < MAX_VALID_WEIGHT, "a refused line came: " + weight));
    }

    private void apply(Frame.Bind bind) {
        assertTrue(bind.version() >= version, "versions only rise");
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
            answers.add(new Frame.Missed(ControllerFixture.TABLE, version));
        }
    }

    /** Sends what it has to answer, if its stream is open. */
    void answer() {
        if (!open) {
            return;
        }
        List<Frame> sent = List.copyOf(answers);
        answers.clear();
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
