package rosespread.scenario;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** All proxies that were seen, in order of their names. Confined to the loop's thread. */
final class ObservedProxies {
    private final Map<String, ObservedProxy> byName = new TreeMap<>();

    /** The proxy of a name; made at its first use. */
    ObservedProxy get(String name) {
        return byName.computeIfAbsent(name, ObservedProxy::new);
    }

    Collection<ObservedProxy> all() {
        return byName.values();
    }

    /** How many proxies are joined to a controller now. */
    long joinedTo(String controller) {
        return byName.values().stream().filter(proxy -> proxy.isJoinedTo(controller)).count();
    }
}
