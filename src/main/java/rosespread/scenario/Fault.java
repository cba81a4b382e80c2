package rosespread.scenario;

import java.util.Arrays;
import java.util.Locale;

/**
 * One thing that goes wrong, {@code at} nanoseconds into the day, {@code lasts} long. What it
 * strikes: a share of nodes or proxies, or all of a zone; a factor or span says how badly; {@code
 * which} names a conductor by place.
 */
record Fault(
        long at,
        long lasts,
        Kind kind,
        double share,
        String zone,
        double factor,
        long span,
        String method,
        int which) {
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

        String words() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }

        static String all() {
            return String.join("|", Arrays.stream(values()).map(Kind::words).toList());
        }
    }

    boolean during(long time) {
        return time >= at && time < at + lasts;
    }

    long ends() {
        return at + lasts;
    }
}
