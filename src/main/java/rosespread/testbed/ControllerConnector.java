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

/**
 * Connects proxies to controllers' channels. Called on the loop's thread; session events are handed
 * over to that thread from the I/O threads.
 */
final class ControllerConnector implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerConnector.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int IO_THREADS = 2;
    private static final String OWNER = "owner";

    /** One in this many connection attempts does not prefer the proxy's own zone. */
    private static final int ANY_ZONE_ONE_IN = 3;

    /** The stream that a session was opened for, and the generation of that connection. */
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
                .addLast("frames", new ProtocolCodecFilter(ChannelCodec.forProxy()));
        connector.setHandler(new SessionHandler());
    }

    /** Returns whether there is a controller to connect to. */
    boolean hasControllers() {
        return !controllers.isEmpty();
    }

    /**
     * Starts to connect to a randomly drawn controller. Two in three attempts draw only among the
     * controllers of the proxy's zone, if it has any. Each attempt draws a controller anew.
     *
     * @param generation passed to the stream with each event of the session
     * @return the controller's name
     */
    String connect(ControllerStream stream, String zone, long generation) {
        FakeProxies.ControllerTarget target = drawController(zone);
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

    private FakeProxies.ControllerTarget drawController(String zone) {
        List<FakeProxies.ControllerTarget> inZone =
                controllers.stream().filter(target -> zone.equals(target.zone())).toList();
        boolean prefersZone = !inZone.isEmpty() && random.nextInt(ANY_ZONE_ONE_IN) > 0;
        List<FakeProxies.ControllerTarget> candidates = prefersZone ? inZone : controllers;
        return candidates.get(random.nextInt(candidates.size()));
    }

    @Override
    public void close() {
        connector.getManagedSessions().values().forEach(IoSession::closeNow);
        connector.dispose();
    }

    /** Hands session events over to the loop's thread. */
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
