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
 * All fake proxies of a process and the objects they share. Created and used on the loop's thread;
 * may be closed from any thread.
 */
public final class FakeProxies implements AutoCloseable {
    /**
     * A controller that proxies can connect to.
     *
     * @param address address of its channel
     * @param zone zone whose proxies prefer this controller; null if no zone does
     */
    public record ControllerTarget(String name, InetSocketAddress address, String zone) {}

    private static final int HTTP_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int HTTP_IDLE_SECONDS = 1;

    private final List<ControllerTarget> controllers;
    private final ControllerConnector connector;
    private final ControllerLinks links;
    private final ProxyFaults faults = new ProxyFaults();
    private final HttpClient http =
            new HttpClient(
                    HTTP_THREADS, HttpLimits.DEFAULT, CONNECT_TIMEOUT_MILLIS, HTTP_IDLE_SECONDS);
    private final Map<String, FakeProxy> proxies = new TreeMap<>();

    /**
     * Creates proxies that are not started yet.
     *
     * @param controllers controllers that proxies can connect to; with none, proxies keep their
     *     initial tables
     * @param requestRates usual RPCs per second of each proxy
     * @param limitsAreShares whether an admission limit is the ratio of RPCs to admit; otherwise it
     *     is in RPCs per second
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
                        faults,
                        http,
                        limitsAreShares);
        for (int i = 0; i < site.proxies().count(); i++) {
            String name = String.format("proxy-%03d", i);
            String zone = site.zones().get(i % site.zones().size());
            proxies.put(name, new FakeProxy(name, zone, requestRates[i], context));
        }
    }

    /** Starts all proxies. */
    public void start() {
        proxies.values().forEach(FakeProxy::start);
    }

    /** Returns the names of all proxies in alphabetical order. */
    public List<String> names() {
        return new ArrayList<>(proxies.keySet());
    }

    /** Returns the names of a zone's proxies in alphabetical order. */
    public List<String> names(String zone) {
        return proxies.values().stream()
                .filter(proxy -> proxy.zone().equals(zone))
                .map(FakeProxy::name)
                .toList();
    }

    /** Returns the proxy with a name; null if there is none. */
    public FakeProxy proxy(String name) {
        return proxies.get(name);
    }

    /** Returns whether each proxy is joined to a controller and was sent full tables. */
    public boolean allSubscribed() {
        return proxies.values().stream().allMatch(FakeProxy::isSubscribed);
    }

    /** Kills a proxy's process, if it runs. */
    public void crash(String name) {
        if (proxies.get(name).isUp()) {
            proxies.get(name).crash();
        }
    }

    /** Starts a proxy's process, if it does not run. */
    public void restart(String name) {
        if (!proxies.get(name).isUp()) {
            proxies.get(name).start();
        }
    }

    /**
     * Cuts a proxy off from all controllers or ends the cut; does nothing if there are no
     * controllers.
     *
     * @param silently whether neither end notices the cut
     */
    public void setCut(String name, boolean cut, boolean silently) {
        if (controllers.isEmpty()) {
            return;
        }
        if (cut) {
            proxies.get(name).cut(silently);
        } else {
            proxies.get(name).restore();
        }
    }

    /** Sets the factor by which all links send entries more slowly; 1 is normal speed. */
    public void setLinkSlowdown(double factor) {
        controllers.forEach(controller -> links.setSlowdown(controller.name(), factor));
    }

    /** Sets the delay of load reports from now on, in addition to the site's report delay. */
    public void setReportDelay(long nanos) {
        faults.setReportDelay(nanos);
    }

    /** Sets the ratio of messages that lose their deltas from now on, 0 to 1. */
    public void setDeltaLossRatio(double ratio) {
        faults.setDeltaLossRatio(ratio);
    }

    @Override
    public void close() {
        connector.close();
        http.close();
    }
}
