package rosespread.api;

import java.util.Locale;

/**
 * What the policy reports of its own modes, for logs and status pages. It orders nothing: whoever
 * carries out the actions may drop it.
 */
public sealed interface PolicyEvent {
    /** One line of plain text with all figures; nodes and tables by their numbers. */
    String text();

    /**
     * A node stands out by its failures and gets little traffic from now on.
     *
     * @param failureRatio its recent failed attempts by all attempts
     * @param attempts its recent attempts, older ones counting less
     * @param othersFailureRatio the same ratio over all other nodes
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
     * An ejected node answers again and gets its full weight.
     *
     * @param failureRatio its recent failed attempts by all attempts
     * @param ejectedSeconds how long it was ejected
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
     * A table begins or ends to count ejected nodes as healthy, since too many are ejected.
     *
     * @param ejectedCapacity capacity of the table's ejected nodes, in listed weight
     * @param capacity capacity of all its nodes, in listed weight
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
     * Load shedding begins or ends.
     *
     * @param demand requests a second that arrive at the proxies
     * @param availableCapacity requests a second that the nodes can do by now
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
     * A delivery was not acknowledged in time; its laggards get the full table again.
     *
     * @param version of the table, as the policy counts it
     * @param laggards proxies that have not acknowledged
     */
    record AcknowledgementTimedOut(TableId table, long version, int laggards)
            implements PolicyEvent {
        @Override
        public String text() {
            return "table "
                    + table.value()
                    + " version "
                    + version
                    + " not acknowledged in time by "
                    + laggards
                    + " proxies: resubscribing them";
        }
    }

    /** Tables are split by key ranges, which this policy leaves as they are; reported once. */
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
