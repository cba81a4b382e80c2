package rosespread.stats;

/** Max-min fair shares: small demands are met in full, the largest are cut to one limit. */
public final class FairShare {
    private FairShare() {}

    /**
     * The limit that cuts rates to a total.
     *
     * @param risingRates the rates, in rising order
     * @param total what they are to add up to, in the same unit
     * @return the limit for each of them, infinite if they don't exceed the total
     */
    public static double limit(double[] risingRates, double total) {
        double left = total;
        for (int i = 0; i < risingRates.length; i++) {
            int others = risingRates.length - i;
            if (risingRates[i] * others >= left) {
                return left / others;
            }
            left -= risingRates[i];
        }
        return Double.POSITIVE_INFINITY;
    }
}
