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
 * A proxy's stream to a controller: connects, joins, and collects frames into messages. Each
 * connection has a generation; events of any generation but the current one are dropped. Confined
 * to the loop's thread.
 */
final class ControllerStream {
    /** Callbacks of the stream to its proxy. */
    interface Owner {
        /**
         * Called when a stream was opened; tables received on the previous stream no longer count
         * as received on the current one.
         */
        void streamOpened();

        /**
         * Returns the highest version of each table that the proxy received and applied since its
         * process started.
         */
        List<Frame.Holding> heldVersions();

        /**
         * Applies a message and answers it with {@link ControllerStream#send}.
         *
         * @param frames all frames of the message except the mark; the proxy may change the list
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

    /** Connects, and from now on reconnects after each failed or closed connection. */
    void start() {
        enabled = true;
        connect();
    }

    /** Closes the stream and does not reconnect. */
    void stop() {
        enabled = false;
        disconnect();
    }

    /** Cuts the proxy off from all controllers; with a silent cut, neither end notices. */
    void cut(boolean silently) {
        cut = true;
        silent = silently;
        leave();
        if (!silently) {
            disconnect();
        }
    }

    /** Ends a cut and opens a new stream. */
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

    /** Reconnects after a random delay, unless another connection was started by then. */
    void reconnectLater() {
        SiteDefinition.Proxies proxies = context.site().proxies();
        long delayRangeNanos = proxies.maxReconnectNanos() - proxies.minReconnectNanos();
        long failedGeneration = generation;
        loop.after(
                proxies.minReconnectNanos() + random.nextLong(delayRangeNanos + 1),
                () -> {
                    if (failedGeneration == generation && session == null) {
                        connect();
                    }
                });
    }

    void opened(long sessionGeneration, IoSession openedSession) {
        if (sessionGeneration != generation || !enabled || cut) {
            openedSession.closeNow();
            return;
        }
        session = openedSession;
        message = new ArrayList<>();
        owner.streamOpened();
        session.write(new Frame.Hello(Frame.VERSION, proxy, List.of()));
    }

    void closed(long sessionGeneration) {
        if (sessionGeneration == generation && !silent) {
            disconnect();
            reconnectLater();
        }
    }

    void received(long sessionGeneration, Frame frame) {
        if (!isCurrent(sessionGeneration)) {
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
                    .transmit(
                            proxy,
                            controller,
                            mark,
                            () -> deliver(sessionGeneration, mark, frames));
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

    private void deliver(long sessionGeneration, Frame.Mark mark, List<Frame> frames) {
        if (isCurrent(sessionGeneration)) {
            owner.apply(controller, mark, frames);
        }
    }

    private boolean isCurrent(long sessionGeneration) {
        return sessionGeneration == generation && !silent && session != null;
    }

    /** Writes to the stream; may only be called while a message of this stream is applied. */
    void send(Frame frame) {
        session.write(frame);
    }

    boolean isJoined() {
        return joined;
    }

    /** Writes after a delay, if the connection is still the same by then. */
    void sendLater(long delayNanos, List<Frame> frames) {
        long sessionGeneration = generation;
        loop.after(
                delayNanos,
                () -> {
                    if (isCurrent(sessionGeneration)) {
                        frames.forEach(session::write);
                    }
                });
    }
}
