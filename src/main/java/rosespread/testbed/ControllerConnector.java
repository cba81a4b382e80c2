package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.random.RandomGenerator;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.channel.ChannelCodec;
import rosespread.channel.Frame;
import rosespread.channel.FrameReader;

/**
 * Connects proxies to controllers' channels. Called on the loop's thread; events of sessions are
 * brought there from the I/O threads.
 */
final class ControllerConnector implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerConnector.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int IO_THREADS = 2;
    private static final String OWNER = "owner";

    /** Of three draws, one goes past the proxy's own zone. */
    private static final int ZONE_DRAWS = 3;

    /** The stream that a session was opened for. */
    private record Owner(ControllerStream stream, long generation) {}

    private final TestLoop loop;
    private final List<FakeProxies.ControllerTarget> controllers;
    private final RandomGenerator random;
    private final NioSocketConnector connector = new NioSocketConnector(IO_THREADS);

    ControllerConnector(
            TestLoop loop, List<FakeProxies.ControllerTarget> controllers, RandomGenerator random) {
        this.loop = loop;
        this.controllers = controllers;
        this.random = random;
        connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector
                .getFilterChain()
                .addLast(
                        "frames",
                        new ProtocolCodecFilter(
                                new ChannelCodec(
                                        FrameReader.MAX_BYTES_FROM_CONTROLLER,
                                        FrameReader.MAX_BYTES_FROM_CONTROLLER)));
        connector.setHandler(new SessionHandler());
    }

    /** Whether there is a controller to connect to. */
    boolean hasControllers() {
        return !controllers.isEmpty();
    }

    /**
     * Dials a controller of the zone if there is one, else any; another one at each attempt.
     *
     * @param generation comes back with each event of the session
     * @return the controller's name
     */
    String connect(ControllerStream stream, String zone, long generation) {
        FakeProxies.ControllerTarget target = draw(zone);
        InetSocketAddress address = target.address();
        connector
                .connect(
                        address,
                        (session, future) ->
                                session.setAttribute(OWNER, new Owner(stream, generation)))
                .addListener(
                        future -> {
                            if (!((ConnectFuture) future).isConnected()) {
                                loop.run(stream::reconnectLater);
                            }
                        });
        return target.name();
    }

    private FakeProxies.ControllerTarget draw(String zone) {
        List<FakeProxies.ControllerTarget> inZone =
                controllers.stream().filter(target -> zone.equals(target.zone())).toList();
        boolean usesZone = !inZone.isEmpty() && random.nextInt(ZONE_DRAWS) > 0;
        List<FakeProxies.ControllerTarget> candidates = usesZone ? inZone : controllers;
        return candidates.get(random.nextInt(candidates.size()));
    }

    @Override
    public void close() {
        connector.getManagedSessions().values().forEach(IoSession::closeNow);
        connector.dispose();
    }

    /** Brings events of sessions to the loop's thread. */
    private final class SessionHandler extends IoHandlerAdapter {
        private Owner owner(IoSession session) {
            return (Owner) session.getAttribute(OWNER);
        }

        @Override
        public void sessionOpened(IoSession session) {
            Owner owner = owner(session);
            loop.run(() -> owner.stream().opened(owner.generation(), session));
        }

        @Override
        public void messageReceived(IoSession session, Object frame) {
            Owner owner = owner(session);
            loop.run(() -> owner.stream().received(owner.generation(), (Frame) frame));
        }

        @Override
        public void sessionClosed(IoSession session) {
            Owner owner = owner(session);
            loop.run(() -> owner.stream().closed(owner.generation()));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.atDebug().setCause(cause).log("channel session failed");
            session.closeNow();
        }
    }
}
