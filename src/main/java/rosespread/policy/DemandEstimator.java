package rosespread.policy;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardTable;
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
        return byMethod.computeIfAbsent(method, m -> estimate(proxies.all(), m, now));
    }

    /**
     * The offered load in RPCs per second of a method at the proxies that use a table. If none of
     * them has reported yet, their part of the method's total is estimated from their usual rates.
     */
    double demand(MethodId method, ShardTable table, long now) {
        List<Proxy> users = table.shard().members().stream().filter(table::isFor).toList();
        if (users.stream().allMatch(proxy -> proxy.offeredRate(method) == null)) {
            double usualOfAll = Math.max(usualRate(proxies.all()), 1e-9);
            return demand(method, now) * usualRate(users) / usualOfAll;
        }
        return estimate(users, method, now);
    }

    /**
     * The offered load of all methods of a table, in RPCs per second, at the proxies that use it.
     */
    double demand(ShardTable table, long now) {
        return table.methods().stream().mapToDouble(method -> demand(method, table, now)).sum();
    }

    private static double usualRate(Collection<Proxy> proxies) {
        return proxies.stream().mapToDouble(Proxy::usualRate).sum();
    }

    private static double estimate(Collection<Proxy> proxies, MethodId method, long now) {
        double reported = 0;
        double usualOfReporting = 0;
        double usualOfAll = 0;
        for (Proxy proxy : proxies) {
            WindowedRate rate = proxy.offeredRate(method);
            reported += rate == null ? 0 : rate.perSecond(now);
            usualOfReporting += rate == null ? 0 : proxy.usualRate();
            usualOfAll += proxy.usualRate();
        }
        return usualOfReporting > 0 ? reported * usualOfAll / usualOfReporting : reported;
    }
}
