package rosespread.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/** One respect in which the controllers of a fleet disagree. */
public sealed interface FleetDifference {
    /** Returns a sentence for the operator. */
    String describe();

    /**
     * Controllers report different values of something that should be the same everywhere.
     *
     * @param subject the name of the value that differs, in the plural
     * @param addressesByValue the control addresses that report each value, at least two values
     */
    record Value(String subject, SortedMap<String, List<String>> addressesByValue)
            implements FleetDifference {
        @Override
        public String describe() {
            List<String> valuesWithAddresses = new ArrayList<>();
            addressesByValue.forEach(
                    (value, addresses) ->
                            valuesWithAddresses.add(value + " at " + String.join(", ", addresses)));
            return subject + " differ: " + String.join("; ", valuesWithAddresses);
        }
    }

    /**
     * A node is drained at some controllers and not at others.
     *
     * @param node the node's name
     * @param addresses the control addresses of the controllers that do not drain it
     */
    record MissingDrain(String node, List<String> addresses) implements FleetDifference {
        @Override
        public String describe() {
            return "node " + node + " is drained, but not at " + String.join(", ", addresses);
        }
    }
}
