package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;

/**
 * All fake proxies of a process and what they share. Made and used on the loop's thread; closed
 * from any.
 */
public final class FakeProxies implements AutoCloseable {
    /**
     * A controller that proxies can dial.
     *
     * @param address of its channel
     * @param zone whose proxies prefer it; null: none do
     */
    public record ControllerTarget(String name, InetSocketAddress address, String zone) {}

    private static final int HTTP_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int HTTP_IDLE_SECONDS = 1;

    private final List<ControllerTarget> controllers;
    private final ControllerConnector connector;
    private final ControllerLinks links;
    private final ProxyDisturbances disturbances = new ProxyDisturbances();
    private final HttpClient http =
            new HttpClient(
                    HTTP_THREADS, HttpLimits.DEFAULT, CONNECT_TIMEOUT_MILLIS, HTTP_IDLE_SECONDS);
    private final Map<String, FakeProxy> proxies = new TreeMap<>();

    /**
     * Proxies that are yet to be started.
     *
     * @param controllers those that they can dial; with none, they keep their starting tables
     * @param requestRates the usual RPCs a second of each proxy
     * @param limitsAreShares whether admission limits are shares of RPCs, else rates
     */
    public FakeProxies(
            TestLoop loop,
            SiteDefinition site,
            FakeNodeList list,
            List<ControllerTarget> controllers,
            double[] requestRates,
            boolean limitsAreShares,
            RandomGenerator random,
            TrafficRecorder recorder) {
        this.controllers = controllers;
        this.connector = new ControllerConnector(loop, controllers, random);
        this.links = new ControllerLinks(loop, site.proxies(), random, recorder);
        ProxyContext context =
                new ProxyContext(
                        loop,
                        site,
                        random,
                        recorder,
                        connector,
                        links,
                        new NodeDirectory(list, site.proxies().initialEntries()),
                        disturbances,
                        http,
                        limitsAreShares);
        for (int i = 0; i < site.proxies().count(); i++) {
            String name = String.format("proxy-%03d", i);
            String zone = site.zones().get(i % site.zones().size());
            proxies.put(name, new FakeProxy(name, zone, requestRates[i], context));
        }
    }

    /** Starts all of them. */
    public void start() {
        proxies.values().forEach(FakeProxy::start);
    }

    /** The names of all proxies, in order. */
    public List<String> names() {
        return new ArrayList<>(proxies.keySet());
    }

    /** The names of a zone's proxies, in order. */
    public List<String> names(String zone) {
        return proxies.values().stream()
                .filter(proxy -> proxy.zone().equals(zone))
                .map(FakeProxy::name)
                .toList();
    }

    /** The proxy of a name; null if there is none. */
    public FakeProxy proxy(String name) {
        return proxies.get(name);
    }

    /** Whether each proxy is joined to a controller and was sent full tables. */
    public boolean allSubscribed() {
        return proxies.values().stream().allMatch(FakeProxy::isSubscribed);
    }

    /** The process of a proxy dies, if it runs. */
    public void crash(String name) {
        if (proxies.get(name).isUp()) {
            proxies.get(name).crash();
        }
    }

    /** The process of a proxy starts, if it does not run. */
    public void restart(String name) {
        if (!proxies.get(name).isUp()) {
            proxies.get(name).start();
        }
    }

    /**
     * Cuts a proxy off from all controllers, or ends that; without controllers it does nothing.
     *
     * @param quietly whether neither end notices the cut
     */
    public void setCut(String name, boolean cut, boolean quietly) {
        if (controllers.isEmpty()) {
            return;
        }
        if (cut) {
            proxies.get(name).cut(quietly);
        } else {
            proxies.get(name).restore();
        }
    }

    /** All links carry entries so many times slower from now on; 1 is as usual. */
    public void setLinkSlowdown(double factor) {
        controllers.forEach(controller -> links.setSlowdown(controller.name(), factor));
    }

    /** Load reports are sent so much later than usual from now on. */
    public void setReportDelay(long nanos) {
        disturbances.setReportDelay(nanos);
    }

    /** This share of messages loses its table changes from now on, 0 to 1. */
    public void setDeltaLossRatio(double ratio) {
        disturbances.setDeltaLossRatio(ratio);
    }

    @Override
    public void close() {
        connector.close();
        http.close();
    }
}
