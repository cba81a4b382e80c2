package rosespread.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.apache.mina.core.session.IoSession;
import rosespread.channel.Frame;
import rosespread.channel.FrameCompression;

/**
 * A proxy's stream to a controller: dialling, joining, and gathering frames into messages. Each
 * connection has a generation; events of another one than the current are dropped. Confined to the
 * loop's thread.
 */
final class ControllerStream {
    /** What the stream needs of its proxy. */
    interface Owner {
        /** A stream was opened; its tables are not those of the one before. */
        void streamOpened();

        /** The highest versions of tables that the proxy holds. */
        List<Frame.Holding> heldVersions();

        /**
         * Takes up a message, and answers for it with {@link ControllerStream#send}.
         *
         * @param frames all but the mark; the proxy may change the list
         */
        void apply(String controller, Frame.Mark mark, List<Frame> frames);
    }

    private final String proxy;
    private final String zone;
    private final double requestsPerSecond;
    private final Owner owner;
    private final ProxyContext context;
    private final TestLoop loop;
    private final RandomGenerator random;
    private final TrafficRecorder recorder;
    private IoSession session;
    private long generation;
    private String controller = "";
    private List<Frame> message = new ArrayList<>();
    private boolean enabled;
    private boolean joined;
    private boolean cut;
    private boolean silent;

    ControllerStream(
            String proxy,
            String zone,
            double requestsPerSecond,
            Owner owner,
            ProxyContext context) {
        this.proxy = proxy;
        this.zone = zone;
        this.requestsPerSecond = requestsPerSecond;
        this.owner = owner;
        this.context = context;
        this.loop = context.loop();
        this.random = context.random();
        this.recorder = context.recorder();
    }

    /** Dials, and dials again from now on whenever there is no stream. */
    void start() {
        enabled = true;
        connect();
    }

    /** Closes the stream and dials no more. */
    void stop() {
        enabled = false;
        disconnect();
    }

    /** No controller can be reached; after a quiet cut neither end notices that. */
    void cut(boolean quietly) {
        cut = true;
        silent = quietly;
        leave();
        if (!quietly) {
            disconnect();
        }
    }

    /** Ends a cut with a new stream. */
    void restore() {
        cut = false;
        silent = false;
        disconnect();
        connect();
    }

    private void leave() {
        if (joined) {
            recorder.proxyLeft(loop.now(), proxy);
        }
        joined = false;
    }

    private void disconnect() {
        generation++;
        leave();
        if (session != null) {
            session.closeNow();
            session = null;
        }
    }

    private void connect() {
        if (!enabled || cut || session != null) {
            return;
        }
        generation++;
        controller = context.connector().connect(this, zone, generation);
    }

    /** Dials again after a drawn pause, unless another stream was begun by then. */
    void reconnectLater() {
        SiteDefinition.Proxies proxies = context.site().proxies();
        long rangeNanos = proxies.maxReconnectNanos() - proxies.minReconnectNanos();
        long failedGeneration = generation;
        loop.after(
                proxies.minReconnectNanos() + random.nextLong(rangeNanos + 1),
                () -> {
                    if (failedGeneration == generation && session == null) {
                        connect();
                    }
                });
    }

    void opened(long ofGeneration, IoSession opened) {
        if (ofGeneration != generation || !enabled || cut) {
            opened.closeNow();
            return;
        }
        session = opened;
        message = new ArrayList<>();
        owner.streamOpened();
        session.write(new Frame.Hello(Frame.VERSION, proxy, List.of()));
    }

    void closed(long ofGeneration) {
        if (ofGeneration == generation && !silent) {
            disconnect();
            reconnectLater();
        }
    }

    void received(long ofGeneration, Frame frame) {
        if (!isCurrent(ofGeneration)) {
            return;
        }
        if (frame instanceof Frame.Hello) {
            join();
        } else if (frame instanceof Frame.KeepAlive keepAlive) {
            session.write(new Frame.KeepAlive(keepAlive.number(), true));
        } else if (frame instanceof Frame.Mark mark) {
            List<Frame> frames = message;
            message = new ArrayList<>();
            context.links()
                    .carry(proxy, controller, mark, () -> deliver(ofGeneration, mark, frames));
        } else if (!(frame instanceof Frame.Close)) {
            message.add(frame);
        }
    }

    private void join() {
        List<Frame.Holding> held = owner.heldVersions();
        session.write(
                new Frame.Join(
                        proxy, zone, requestsPerSecond, FrameCompression.isAvailable(), held));
        joined = true;
        Map<Integer, Long> versions = new TreeMap<>();
        held.forEach(holding -> versions.put(holding.table().value(), holding.version()));
        recorder.proxyJoined(loop.now(), proxy, controller, versions);
    }

    private void deliver(long ofGeneration, Frame.Mark mark, List<Frame> frames) {
        if (isCurrent(ofGeneration)) {
            owner.apply(controller, mark, frames);
        }
    }

    private boolean isCurrent(long ofGeneration) {
        return ofGeneration == generation && !silent && session != null;
    }

    /** Writes to the stream; only while a message of it is applied. */
    void send(Frame frame) {
        session.write(frame);
    }

    boolean isJoined() {
        return joined;
    }

    /** Writes after a delay, if it is the same stream then. */
    void sendLater(long delayNanos, List<Frame> frames) {
        long ofGeneration = generation;
        loop.after(
                delayNanos,
                () -> {
                    if (isCurrent(ofGeneration)) {
                        frames.forEach(session::write);
                    }
                });
    }
}
