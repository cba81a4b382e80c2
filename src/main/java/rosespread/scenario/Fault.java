package rosespread.scenario;

import java.util.Arrays;
import java.util.Locale;

/**
 * One thing that goes wrong, {@code at} nanoseconds into the day, {@code lasts} long. What it
 * strikes: a share of nodes or proxies, or all of a zone; a factor or span says how badly; {@code
 * which} names a conductor by place.
 */
record Fault(
        long startNanos,
        long durationNanos,
        Kind kind,
        double share,
        String zone,
        double factor,
        long spanNanos,
        String method,
        int controllerIndex) {
    enum Kind {
        NODE_CRASH,
        HANG,
        FAST_ABORTS,
        COLD_START,
        DRAIN,
        ROLLING_DEPLOY,
        FLAPPING,
        NEIGHBOUR,
        COSTLY_RPCS,
        SHIFT,
        HOT_PROXY,
        ZONE_LOSS,
        PROXY_CRASH,
        STREAM_CUT,
        CONDUCTOR_CRASH,
        CONDUCTOR_RESTART,
        CONDUCTOR_STALL,
        SLOW_CHANNEL,
        LATE_REPORTS,
        FALSE_REPORTS,
        LATE_LIST,
        SILENT_LIST,
        WRONG_LIST,
        CLIENTS_GIVE_UP,
        IMPATIENT_CLIENTS,
        MISSED_DELTAS,
        ROLLBACK,
        CONDUCTOR_KILLS,
        OPERATOR_DRAIN;

        String yamlName() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }

        static String yamlNames() {
            return String.join("|", Arrays.stream(values()).map(Kind::yamlName).toList());
        }
    }

    boolean isActiveAt(long time) {
        return time >= startNanos && time < startNanos + durationNanos;
    }

    long endNanos() {
        return startNanos + durationNanos;
    }
}
