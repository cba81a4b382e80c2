package rosespread.scenario;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * One thing that goes wrong. Which of its values a fault uses depends on its kind.
 *
 * @param startNanos since the start of the day
 * @param share of nodes, proxies, RPCs or table changes that it strikes, 0 to 1
 * @param zone that it strikes as a whole
 * @param factor how badly, in times of what is usual
 * @param spanNanos how badly, as a time
 * @param method whose RPCs it strikes
 * @param controllerIndex the controller that it strikes, by place from 0
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

    /** What goes wrong. The names are read from scenario files and stay. */
    enum Kind {
        /** Processes of nodes die. */
        NODE_CRASH,
        /** Nodes take RPCs and never answer. */
        HANG,
        /** Nodes fail RPCs at once. */
        FAST_ABORTS,
        /** Nodes start again and have to warm up. */
        COLD_START,
        /** The list says that nodes drain. */
        DRAIN,
        /** Nodes drain, end and start again, one after the other. */
        ROLLING_DEPLOY,
        /** Nodes die and start in turn. */
        FLAPPING,
        /** Something else on their machines makes nodes slower. */
        NEIGHBOUR,
        /** RPCs of a method need more work. */
        COSTLY_RPCS,
        /** RPCs come to another zone. */
        SHIFT,
        /** RPCs come to one proxy. */
        HOT_PROXY,
        /** Nodes and proxies of a zone die. */
        ZONE_LOSS,
        /** Processes of proxies die. */
        PROXY_CRASH,
        /** Proxies and controllers can't reach each other. */
        STREAM_CUT,
        /** A controller's process is killed and started after a while. */
        CONDUCTOR_CRASH,
        /** A controller's process is ended and started. */
        CONDUCTOR_RESTART,
        /** A controller's process stands still. */
        CONDUCTOR_STALL,
        /** Controllers' links are slow. */
        SLOW_CHANNEL,
        /** Load reports come later than usual. */
        LATE_REPORTS,
        /** Nodes report another load than they have. */
        FALSE_REPORTS,
        /** The list shows changes later than usual. */
        LATE_LIST,
        /** The list does not answer. */
        SILENT_LIST,
        /** The list answers with an old state, then with errors. */
        WRONG_LIST,
        /** Clients wait for a part of the deadline only. */
        CLIENTS_GIVE_UP,
        /** Clients send RPCs again at once, and more often. */
        IMPATIENT_CLIENTS,
        /** Proxies lose changes of tables. */
        MISSED_DELTAS,
        /** An operator rolls a table back. */
        ROLLBACK,
        /** A controller's process is killed and started over and over. */
        CONDUCTOR_KILLS,
        /** An operator drains a node. */
        OPERATOR_DRAIN;

        /** The name in scenario files and events. */
        String yamlName() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }

        /** The names of all kinds, separated by bars. */
        static String yamlNames() {
            return Arrays.stream(values()).map(Kind::yamlName).collect(Collectors.joining("|"));
        }
    }

    /** Whether the fault lasts at a time of the day. */
    boolean isActiveAt(long dayNanos) {
        return dayNanos >= startNanos && dayNanos < endNanos();
    }

    /** The first time of the day at which it does not last any more. */
    long endNanos() {
        return startNanos + durationNanos;
    }
}
