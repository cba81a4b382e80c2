package rosespread.policy;

import java.util.Map;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.stats.WindowedRate;

/** What is offered of each method, kept for the length of a round. */
final class DemandEstimator {
    private final ProxyRegistry proxies;
    private final Map<MethodId, Double> byMethod = new TreeMap<>();

    DemandEstimator(ProxyRegistry proxies) {
        this.proxies = proxies;
    }

    /** Drops what is kept, as time or reports have changed it. */
    void invalidate() {
        byMethod.clear();
    }

    /**
     * RPCs a second of a method. Proxies that have not reported yet, such as ones just joined,
     * count by their usual rate.
     */
    double demand(MethodId method, long now) {
        return byMethod.computeIfAbsent(method, m -> estimate(m, now));
    }

    private double estimate(MethodId method, long now) {
        double reported = 0;
        double usualOfReporting = 0;
        double usualOfAll = 0;
        for (Proxy proxy : proxies.all()) {
            WindowedRate rate = proxy.offeredRate(method);
            reported += rate == null ? 0 : rate.perSecond(now);
            usualOfReporting += rate == null ? 0 : proxy.usualRate();
            usualOfAll += proxy.usualRate();
        }
        return usualOfReporting > 0 ? reported * usualOfAll / usualOfReporting : reported;
    }
}
