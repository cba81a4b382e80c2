package rosespread.fleet;

/** Why a drained node is not known to be empty yet, by what one controller reports. */
public sealed interface DrainBlocker {
    /** The control address of the controller concerned. */
    String address();

    /** A sentence for the operator, without the node's name. */
    String describe();

    /**
     * The controller did not respond with success.
     *
     * @param address its control address
     * @param detail why, as far as known
     */
    record NoResponse(String address, String detail) implements DrainBlocker {
        @Override
        public String describe() {
            return address + " does not answer: " + detail;
        }
    }

    /**
     * The controller does not drain the node.
     *
     * @param address its control address
     */
    record StillReady(String address) implements DrainBlocker {
        @Override
        public String describe() {
            return address + " still lists it as ready";
        }
    }

    /**
     * A proxy reported an attempt at the node within the quiet period.
     *
     * @param address the controller's control address
     * @param agoMillis time since that report
     */
    record RecentAttempt(String address, long agoMillis) implements DrainBlocker {
        @Override
        public String describe() {
            return address + " heard of a try " + agoMillis + " ms ago";
        }
    }

    /**
     * Proxies have not reported lately and may go on sending to the node unseen.
     *
     * @param address the controller's control address
     * @param proxies how many proxies' reports are overdue
     */
    record OverdueReports(String address, int proxies) implements DrainBlocker {
        @Override
        public String describe() {
            return address + " cannot know: " + proxies + " of its proxies have not reported";
        }
    }
}
