package rosespread.policy;

import static rosespread.policy.SettingsBuilder.localMethod;
import static rosespread.policy.SettingsBuilder.method;
import static rosespread.policy.SettingsBuilder.methodOfZones;

import rosespread.api.PolicySettings;
import rosespread.api.PolicySettings.Throttle;

/** Deployments on which the routing policy's decisions are recorded or its rounds timed. */
public enum Deployment {
    /**
     * One method and one zone, many proxies, admission limits by rate, and a low message limit for
     * each proxy.
     */
    RATE_LIMITED(24, 160, true),
    /**
     * Methods restricted to machine types and zones, one of them to the proxy's own zone; nodes are
     * health-checked.
     */
    ZONED(60, 48, true),
    /**
     * Nodes report no utilization, proxies apply no admission limits, the channel is slow and its
     * queue is short.
     */
    SLOW_CHANNEL(36, 60, false),
    /** Two methods of different priority and a fleet so large that its proxies form many shards. */
    MANY_GROUPS(40, 200, true),
    /** Only for timing rounds. */
    LARGE(200, 800, true);

    private final int nodes;
    private final int proxies;
    private final boolean utilizationReported;

    Deployment(int nodes, int proxies, boolean utilizationReported) {
        this.nodes = nodes;
        this.proxies = proxies;
        this.utilizationReported = utilizationReported;
    }

    int nodes() {
        return nodes;
    }

    int proxies() {
        return proxies;
    }

    boolean utilizationReported() {
        return utilizationReported;
    }

    PolicySettings settings() {
        return switch (this) {
            case RATE_LIMITED -> new SettingsBuilder().channel(1500, 10, 2000, 0.04).build();
            case ZONED -> zoned();
            case SLOW_CHANNEL -> slowChannel();
            case MANY_GROUPS ->
                    new SettingsBuilder()
                            .methods(2, method(2), method(1))
                            .healthChecks()
                            .throttle(Throttle.SHARE)
                            .channel(2500, 10, 2500, 0.04)
                            .messageLimit(20)
                            .reportPeriod(0.5)
                            .warmUp(18, 0.17, 1.5)
                            .build();
            case LARGE ->
                    new SettingsBuilder()
                            .methods(3, method(1), method(2))
                            .healthChecks()
                            .throttle(Throttle.SHARE)
                            .channel(8000, 10, 8000, 0.04)
                            .build();
        };
    }

    private static PolicySettings zoned() {
        return new SettingsBuilder()
                .methods(3, method(1), method(2, 1), localMethod(3), methodOfZones(1, 0, 2))
                .healthChecks()
                .throttle(Throttle.SHARE)
                .channel(4000, 6, 8000, 0.02)
                .messageLimit(40)
                .propagationDelay(0.25)
                .reportPeriod(0.5)
                .drainTimeout(3)
                .warmUp(12, 0.25, 1)
                .build();
    }

    private static PolicySettings slowChannel() {
        return new SettingsBuilder()
                .methods(2, method(1), method(1))
                .listOnDemand()
                .healthChecks()
                .throttle(Throttle.NONE)
                .channel(500, 12, 600, 0.1)
                .messageLimit(0)
                .propagationDelay(1)
                .reportPeriod(2)
                .drainTimeout(4)
                .warmUp(10, 0.3, 2)
                .build();
    }
}
