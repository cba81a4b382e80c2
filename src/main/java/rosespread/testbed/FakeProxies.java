package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import rosespread.api.NodeId;
import rosespread.channel.ChannelCodec;
import rosespread.channel.Frame;
import rosespread.channel.FrameReader;
import rosespread.discovery.ListedNode;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;

/** All stand-in proxies of a process, and the links over which conductors' messages reach them. */
public final class FakeProxies implements AutoCloseable {
    /** A conductor that proxies can dial; no zone: any proxy's. */
    public record ControllerTarget(String name, InetSocketAddress address, String zone) {}

    private static final int CONNECT_MILLIS = 250;
    private static final double SECOND = 1e9;
    private static final String OWNER = "owner";

    private record Owner(FakeProxy proxy, long stream) {}

    /**
     * A conductor's link: messages go through one after the other when it is slow, and reach a
     * proxy in order.
     */
    private static final class Link {
        double factor = 1;
        long freeAt;
        double lines;
    }

    private final TestLoop loop;
    private final SiteDefinition site;
    private final FakeNodeList list;
    private final TrafficRecorder record;
    private final RandomGenerator random;
    private final boolean shares;
    private final List<ControllerTarget> conductors;
    private final NioSocketConnector connector = new NioSocketConnector(2);
    private final HttpClient http = new HttpClient(2, HttpLimits.USUAL, CONNECT_MILLIS, 1);
    private final Map<String, FakeProxy> proxies = new TreeMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Long> lastDue = new HashMap<>();
    private final Map<String, ArrayDeque<Runnable>> onTheWay = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private long setReportDelay;
    private double deltasLost;

    /**
     * @param rates the usual RPCs a second of each proxy; @param shares whether levels are shares,
     *     else rates
     */
    public FakeProxies(
            TestLoop loop,
            SiteDefinition site,
            FakeNodeList list,
            List<ControllerTarget> conductors,
            double[] rates,
            boolean shares,
            RandomGenerator random,
            TrafficRecorder record) {
        this.loop = loop;
        this.site = site;
        this.list = list;
        this.conductors = conductors;
        this.random = random;
        this.record = record;
        this.shares = shares;
        connector.setConnectTimeoutMillis(CONNECT_MILLIS);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector
                .getFilterChain()
                .addLast(
                        "frames",
                        new ProtocolCodecFilter(
                                new ChannelCodec(
                                        FrameReader.FROM_CONDUCTOR, FrameReader.FROM_CONDUCTOR)));
        connector.setHandler(new Sessions());
        list.addresses(null).forEach((name, address) -> names.put(address.getPort(), name));
        for (int i = 0; i < site.proxies().count(); i++) {
            String name = String.format("proxy-%03d", i);
            proxies.put(
                    name,
                    new FakeProxy(
                            name,
                            site.zones().get(i % site.zones().size()),
                            rates[i],
                            this,
                            loop,
                            site,
                            random,
                            record));
        }
    }

    public void start() {
        proxies.values().forEach(proxy -> proxy.start(!conductors.isEmpty()));
    }

    public List<String> names() {
        return new ArrayList<>(proxies.keySet());
    }

    public List<String> names(String zone) {
        return proxies.values().stream().filter(p -> p.zone.equals(zone)).map(p -> p.name).toList();
    }

    public FakeProxy proxy(String name) {
        return proxies.get(name);
    }

    public boolean allSubscribed() {
        return proxies.values().stream().allMatch(FakeProxy::isSubscribed);
    }

    public void crash(String name) {
        if (proxies.get(name).isUp()) {
            proxies.get(name).crash();
        }
    }

    public void restart(String name) {
        if (!proxies.get(name).isUp()) {
            proxies.get(name).start(!conductors.isEmpty());
        }
    }

    public void setCut(String name, boolean on, boolean quietly) {
        if (!conductors.isEmpty()) {
            proxies.get(name).cut(on, quietly);
        }
    }

    /** All links carry lines so many times slower from now on; 1 is as usual. */
    public void setLinkSlowdown(double factor) {
        conductors.forEach(c -> links.computeIfAbsent(c.name(), n -> new Link()).factor = factor);
    }

    /** Reports are sent so much later than usual. */
    public void setReportDelay(long nanos) {
        setReportDelay = nanos;
    }

    /** This share of deltas is lost from now on. */
    public void setDeltaLossRatio(double share) {
        deltasLost = share;
    }

    boolean loses(RandomGenerator chance) {
        return deltasLost > 0 && chance.nextDouble() < deltasLost;
    }

    long reportLate() {
        return site.reportDelayNanos() + setReportDelay;
    }

    boolean levelsAreShares() {
        return shares;
    }

    HttpClient http() {
        return http;
    }

    String nodeName(int port) {
        return names.getOrDefault(port, "port-" + port);
    }

    Map<NodeId, ProxyTables.Place> standing(
            String zone, SiteDefinition.Method method, RandomGenerator from) {
        Map<String, InetSocketAddress> near = list.addresses(zone);
        List<Map.Entry<String, InetSocketAddress>> all =
                new ArrayList<>((near.size() >= 3 ? near : list.addresses(null)).entrySet());
        all.removeIf(entry -> !method.isServedBy(list.machineType(entry.getKey())));
        Collections.shuffle(all, new java.util.Random(from.nextLong()));
        Map<NodeId, ProxyTables.Place> drawn = new LinkedHashMap<>();
        all.stream()
                .limit(site.proxies().initialEntries())
                .forEach(
                        entry ->
                                drawn.put(
                                        ListedNode.id(
                                                entry.getKey(),
                                                "127.0.0.1",
                                                entry.getValue().getPort()),
                                        new ProxyTables.Place(entry.getKey(), entry.getValue())));
        return drawn;
    }

    /** Dials a conductor of the proxy's zone if there is one, else any; another one at each try. */
    String dial(FakeProxy proxy, long stream) {
        List<ControllerTarget> near =
                conductors.stream().filter(c -> proxy.zone.equals(c.zone())).toList();
        List<ControllerTarget> among = !near.isEmpty() && random.nextInt(3) > 0 ? near : conductors;
        ControllerTarget target = among.get(random.nextInt(among.size()));
        connector
                .connect(
                        target.address(),
                        (session, future) -> session.setAttribute(OWNER, new Owner(proxy, stream)))
                .addListener(
                        future -> {
                            if (!((ConnectFuture) future).isConnected()) {
                                loop.run(proxy::redial);
                            }
                        });
        return target.name();
    }

    /** Brings a message over the conductor's link to the proxy. */
    void carry(
            FakeProxy proxy, long stream, String conductor, Frame.Mark mark, List<Frame> message) {
        Link link = links.computeIfAbsent(conductor, c -> new Link());
        long now = loop.now();
        long leaves = now;
        if (link.factor > 1 || link.freeAt > now) {
            double nanos =
                    mark.lines()
                            / site.proxies().entriesPerSecond()
                            * SECOND
                            * Math.max(1, link.factor);
            link.freeAt = Math.max(link.freeAt, now) + (long) nanos;
            leaves = link.freeAt;
            link.lines += mark.lines();
            loop.after(leaves - now, () -> link.lines -= mark.lines());
        }
        record.messageArrived(now, proxy.name, conductor, mark, link.lines);
        long way =
                Math.min(
                        site.proxies().maxDelayNanos(),
                        (long)
                                (-Math.log(1 - random.nextDouble())
                                        * site.proxies().meanDelayNanos()));
        long due = Math.max(lastDue.getOrDefault(proxy.name, 0L), leaves + way);
        lastDue.put(proxy.name, due);
        // Two timers for one moment may fire in either order; the stream's order must hold all the
        // same.
        ArrayDeque<Runnable> inOrder =
                onTheWay.computeIfAbsent(proxy.name, n -> new ArrayDeque<>());
        inOrder.addLast(() -> proxy.take(stream, mark, message));
        loop.after(due - now, () -> inOrder.removeFirst().run());
    }

    @Override
    public void close() {
        connector.getManagedSessions().values().forEach(IoSession::closeNow);
        connector.dispose();
        http.close();
    }

    private final class Sessions extends IoHandlerAdapter {
        private Owner owner(IoSession session) {
            return (Owner) session.getAttribute(OWNER);
        }

        @Override
        public void sessionOpened(IoSession session) {
            Owner owner = owner(session);
            loop.run(() -> owner.proxy().opened(owner.stream(), session));
        }

        @Override
        public void messageReceived(IoSession session, Object frame) {
            Owner owner = owner(session);
            loop.run(() -> owner.proxy().received(owner.stream(), (Frame) frame));
        }

        @Override
        public void sessionClosed(IoSession session) {
            Owner owner = owner(session);
            loop.run(() -> owner.proxy().closed(owner.stream()));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
