package rosespread.scenario;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A fault that a scenario injects. The kind determines which of the other values are used.
 *
 * @param startNanos the start of the fault, since the start of the measured period
 * @param share ratio of the nodes, proxies, RPCs or table changes that are affected, 0 to 1; for
 *     {@link Kind#CLIENTS_GIVE_UP} the ratio of the deadline for which clients wait
 * @param zone the zone that is affected as a whole, or that RPCs are moved to
 * @param factor the severity as a multiple of the value without the fault
 * @param spanNanos the severity as a time, such as an added delay, half of the flapping period or
 *     the longest pause between kills
 * @param method the method whose RPCs are affected
 * @param controllerIndex the index of the affected controller, from 0
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

    /** Kinds of fault. The names are part of the scenario file format and must not change. */
    enum Kind {
        /** Node processes crash. */
        NODE_CRASH,
        /** Nodes accept RPCs and never respond. */
        HANG,
        /** Nodes fail a fraction of RPCs and health checks immediately. */
        FAST_ABORTS,
        /** Nodes restart and have to warm up. */
        COLD_START,
        /** The node list shows nodes as draining. */
        DRAIN,
        /** Nodes drain, end and restart, one after the other. */
        ROLLING_DEPLOY,
        /** Nodes crash and restart in alternation. */
        FLAPPING,
        /** Nodes are slowed down by other load on their machines. */
        NEIGHBOUR,
        /** RPCs of a method require more work. */
        COSTLY_RPCS,
        /** A share of the RPCs arrives in the fault's zone instead of its usual zone. */
        SHIFT,
        /** A share of the RPCs arrives at one proxy, regardless of zone. */
        HOT_PROXY,
        /** Nodes and proxies of a zone crash. */
        ZONE_LOSS,
        /** Proxy processes crash. */
        PROXY_CRASH,
        /** Proxies and controllers cannot reach each other. */
        STREAM_CUT,
        /** A controller process is killed, and started at the end of the fault. */
        CONDUCTOR_CRASH,
        /** A controller process is asked to end and is started again at once. */
        CONDUCTOR_RESTART,
        /** A controller process is suspended, and resumed at the end of the fault. */
        CONDUCTOR_STALL,
        /** The links from controllers to proxies send weight entries more slowly than usual. */
        SLOW_CHANNEL,
        /** Load reports are delayed. */
        LATE_REPORTS,
        /** Nodes report a utilization that differs from the actual one. */
        FALSE_REPORTS,
        /** The node list shows changes with an additional delay. */
        LATE_LIST,
        /** The node list does not respond. */
        SILENT_LIST,
        /** The node list responds with an old state, then with errors. */
        WRONG_LIST,
        /** Clients wait for a result for only a fraction of the method's deadline. */
        CLIENTS_GIVE_UP,
        /**
         * Clients retry RPCs without delay, and up to 3 times if the scenario allows fewer retries.
         */
        IMPATIENT_CLIENTS,
        /** Proxies lose the deltas of some messages. */
        MISSED_DELTAS,
        /** An operator rolls a table back. */
        ROLLBACK,
        /** A controller process is killed and started repeatedly. */
        CONDUCTOR_KILLS,
        /** An operator drains a node. */
        OPERATOR_DRAIN;

        /** Returns the name in scenario files and events. */
        String yamlName() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }

        /** Returns the names of all kinds, separated by {@code |}. */
        static String yamlNames() {
            return Arrays.stream(values()).map(Kind::yamlName).collect(Collectors.joining("|"));
        }
    }

    /** Returns whether the fault is active at a time since the start of the measured period. */
    boolean isActiveAt(long elapsedNanos) {
        return elapsedNanos >= startNanos && elapsedNanos < endNanos();
    }

    /** Returns the end, exclusive, since the start of the measured period. */
    long endNanos() {
        return startNanos + durationNanos;
    }
}
