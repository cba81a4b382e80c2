package rosespread.scenario;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** All proxies observed so far, in order of their names. Confined to the loop's thread. */
final class ObservedProxies {
    private final Map<String, ObservedProxy> byName = new TreeMap<>();

    /** Returns the proxy of a name; creates it at the first use. */
    ObservedProxy get(String name) {
        return byName.computeIfAbsent(name, ObservedProxy::new);
    }

    Collection<ObservedProxy> all() {
        return byName.values();
    }

    /** Returns the number of proxies currently joined to a controller. */
    long joinedTo(String controller) {
        return byName.values().stream().filter(proxy -> proxy.isJoinedTo(controller)).count();
    }
}
