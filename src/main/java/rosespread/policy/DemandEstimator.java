package rosespread.policy;

import java.util.Map;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.stats.WindowedRate;

/** Estimates the offered load of each method; the estimates are cached for one round. */
final class DemandEstimator {
    private final ProxyRegistry proxies;
    private final Map<MethodId, Double> byMethod = new TreeMap<>();

    DemandEstimator(ProxyRegistry proxies) {
        this.proxies = proxies;
    }

    /** Clears the cached estimates; called when time has passed or reports have arrived. */
    void invalidate() {
        byMethod.clear();
    }

    /**
     * The offered load of a method in RPCs per second. Proxies that have not reported yet, such as
     * those that have just joined, are estimated from their usual rate.
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
