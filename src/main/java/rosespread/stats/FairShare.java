package rosespread.stats;

/** Max-min fair shares: small rates are kept in full, the largest are cut to a common limit. */
public final class FairShare {
    private FairShare() {}

    /**
     * Returns the limit at which the limited rates add up to a total.
     *
     * @param ascendingRates the rates, in ascending order
     * @param total the sum of the limited rates, in the same unit
     * @return the limit of each rate; infinite if the rates don't exceed the total
     */
    public static double limit(double[] ascendingRates, double total) {
        double remainingTotal = total;
        for (int i = 0; i < ascendingRates.length; i++) {
            int remainingRates = ascendingRates.length - i;
            if (ascendingRates[i] * remainingRates >= remainingTotal) {
                return remainingTotal / remainingRates;
            }
            remainingTotal -= ascendingRates[i];
        }
        return Double.POSITIVE_INFINITY;
    }
}
