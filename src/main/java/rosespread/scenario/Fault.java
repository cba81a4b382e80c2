package rosespread.scenario;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A fault that a scenario injects. The kind determines which of the other values are used.
 *
 * @param startNanos since the start of the measured period
 * @param share ratio of the nodes, proxies, RPCs or table changes that are affected, 0 to 1; for
 *     {@link Kind#CLIENTS_GIVE_UP} the ratio of the deadline for which clients wait
 * @param zone the zone that is affected as a whole, or that RPCs are moved to
 * @param factor the severity as a multiple of the value without the fault
 * @param spanNanos the severity as a time, such as a delay, half a period or the longest pause
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
        /** Nodes fail RPCs immediately. */
        FAST_ABORTS,
        /** Nodes restart and have to warm up. */
        COLD_START,
        /** The node list shows nodes as draining. */
        DRAIN,
        /** Nodes drain, end and restart, one after the other. */
        ROLLING_DEPLOY,
        /** Nodes crash and restart in alternation. */
        FLAPPING,
        /** Other load on their machines slows nodes down. */
        NEIGHBOUR,
        /** RPCs of a method require more work. */
        COSTLY_RPCS,
        /** RPCs arrive in another zone. */
        SHIFT,
        /** RPCs arrive at one proxy. */
        HOT_PROXY,
        /** Nodes and proxies of a zone crash. */
        ZONE_LOSS,
        /** Proxy processes crash. */
        PROXY_CRASH,
        /** Proxies and controllers cannot reach each other. */
        STREAM_CUT,
        /** A controller process is killed, and started at the end of the fault. */
        CONDUCTOR_CRASH,
        /** A controller process is stopped and started. */
        CONDUCTOR_RESTART,
        /** A controller process is suspended. */
        CONDUCTOR_STALL,
        /** The links from controllers to proxies are slow. */
        SLOW_CHANNEL,
        /** Load reports are delayed. */
        LATE_REPORTS,
        /** Nodes report a utilization that differs from the actual one. */
        FALSE_REPORTS,
        /** The node list shows changes later. */
        LATE_LIST,
        /** The node list does not respond. */
        SILENT_LIST,
        /** The node list responds with an old state, then with errors. */
        WRONG_LIST,
        /** Clients wait for only a fraction of the deadline. */
        CLIENTS_GIVE_UP,
        /** Clients retry RPCs without delay, and more often. */
        IMPATIENT_CLIENTS,
        /** Proxies lose table changes. */
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
