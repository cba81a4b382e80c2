package rosespread.fleet;

/** A reason why a drained node may still receive traffic, as far as one controller can tell. */
public sealed interface DrainBlocker {
    /** Returns the control address of the controller. */
    String address();

    /** Returns a sentence for the operator, without the node's name. */
    String describe();

    /**
     * The controller did not respond with success.
     *
     * @param address the controller's control address
     * @param detail the cause, as far as known
     */
    record NoResponse(String address, String detail) implements DrainBlocker {
        @Override
        public String describe() {
            return address + " returned no node list: " + detail;
        }
    }

    /**
     * The controller does not drain the node.
     *
     * @param address the controller's control address
     */
    record StillReady(String address) implements DrainBlocker {
        @Override
        public String describe() {
            return address + " still lists the node as ready";
        }
    }

    /**
     * A proxy reported an attempt at the node within the quiet period.
     *
     * @param address the controller's control address
     * @param agoMillis the time since that report in milliseconds
     */
    record RecentAttempt(String address, long agoMillis) implements DrainBlocker {
        @Override
        public String describe() {
            return address + " received a report of an attempt " + agoMillis + " ms ago";
        }
    }

    /**
     * The reports of some proxies are overdue; these proxies may still send requests to the node.
     *
     * @param address the controller's control address
     * @param proxies the number of proxies with an overdue report
     */
    record OverdueReports(String address, int proxies) implements DrainBlocker {
        @Override
        public String describe() {
            return address
                    + " has overdue reports: "
                    + proxies
                    + " of its proxies have not reported";
        }
    }
}
