package rosespread.policy.state;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.ProxyId;

/** The joined proxies, sorted by identity. */
public final class ProxyRegistry {
    private final TreeMap<ProxyId, Proxy> proxies = new TreeMap<>();

    /** Adds a proxy that has just joined. */
    public void add(Proxy proxy) {
        proxies.put(proxy.id(), proxy);
    }

    /** Removes a proxy and returns it, or returns null if it had not joined. */
    public Proxy remove(ProxyId id) {
        return proxies.remove(id);
    }

    /** The proxy, null if it has not joined. */
    public Proxy find(ProxyId id) {
        return proxies.get(id);
    }

    /** All joined proxies, in order. */
    public Collection<Proxy> all() {
        return proxies.values();
    }

    /** Number of joined proxies. */
    public int size() {
        return proxies.size();
    }

    /** The proxies without a subscription, in order. */
    public List<Proxy> unsubscribed() {
        return proxies.values().stream().filter(proxy -> !proxy.subscribed()).toList();
    }
}
