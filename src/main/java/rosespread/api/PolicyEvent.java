package rosespread.api;

import java.util.Locale;

/**
 * Report of a mode change of the policy, for logs and status pages. It requires no action: an
 * implementation of {@link PolicyActions} may drop it.
 */
public sealed interface PolicyEvent {
    /** Returns one line of plain text with all figures; nodes and tables are given by number. */
    String text();

    /**
     * A node was ejected for its high failure ratio; it gets only a small fraction of its weight
     * until it is readmitted.
     *
     * @param failureRatio ratio of failed attempts to all attempts in the node's recent past
     * @param attempts the node's recent attempts, older attempts weighted less
     * @param othersFailureRatio the failure ratio over all other nodes
     */
    record NodeEjected(NodeId node, double failureRatio, double attempts, double othersFailureRatio)
            implements PolicyEvent {
        @Override
        public String text() {
            return "node "
                    + node.value()
                    + " ejected: "
                    + figure(failureRatio)
                    + " of "
                    + figure(attempts)
                    + " attempts failed, others "
                    + figure(othersFailureRatio);
        }
    }

    /**
     * An ejected node answers again and is given its full weight.
     *
     * @param failureRatio ratio of failed attempts to all attempts in the node's recent past
     * @param ejectedSeconds time for which the node was ejected
     */
    record NodeReadmitted(NodeId node, double failureRatio, double ejectedSeconds)
            implements PolicyEvent {
        @Override
        public String text() {
            return "node "
                    + node.value()
                    + " readmitted: "
                    + figure(failureRatio)
                    + " failed after "
                    + figure(ejectedSeconds)
                    + " s";
        }
    }

    /**
     * Panic mode of a table started or ended. In panic mode, ejected nodes count as healthy,
     * because the ejected fraction of the table's capacity is above the panic threshold.
     *
     * @param started whether panic mode started (true) or ended (false)
     * @param ejectedCapacity capacity of the table's ejected nodes, in units of listed weight
     * @param capacity capacity of all the table's nodes, in units of listed weight
     */
    record PanicModeChanged(TableId table, boolean started, double ejectedCapacity, double capacity)
            implements PolicyEvent {
        @Override
        public String text() {
            return "table "
                    + table.value()
                    + (started ? " panic mode started: " : " panic mode ended: ")
                    + figure(ejectedCapacity)
                    + " of "
                    + figure(capacity)
                    + " capacity ejected";
        }
    }

    /**
     * Load shedding started or ended.
     *
     * @param started whether load shedding started (true) or ended (false)
     * @param demand requests per second that arrive at the proxies
     * @param availableCapacity requests per second that the nodes can currently serve
     */
    record LoadSheddingChanged(boolean started, double demand, double availableCapacity)
            implements PolicyEvent {
        @Override
        public String text() {
            return (started ? "load shedding started: offered " : "load shedding ended: offered ")
                    + figure(demand)
                    + "/s, available "
                    + figure(availableCapacity)
                    + "/s";
        }
    }

    /**
     * Proxies did not acknowledge a delivery within the timeout; they are sent the full table
     * again.
     *
     * @param version the table's version, as counted by the policy
     * @param missingAcknowledgements the number of proxies that have not acknowledged
     */
    record AcknowledgementTimedOut(TableId table, long version, int missingAcknowledgements)
            implements PolicyEvent {
        @Override
        public String text() {
            return "table "
                    + table.value()
                    + " version "
                    + version
                    + " not acknowledged in time by "
                    + missingAcknowledgements
                    + " proxies: resubscribing them";
        }
    }

    /** Tables are split by key ranges; the policy leaves such tables unchanged. Reported once. */
    record KeyRangeTablesIgnored() implements PolicyEvent {
        @Override
        public String text() {
            return "key range tables are not decided by this policy: they stay as they are";
        }
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
