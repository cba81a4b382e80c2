package rosespread.stats;

/** Max-min fair shares: small demands are met in full, the largest are cut to one limit. */
public final class FairShare {
    private FairShare() {}

    /**
     * The limit that cuts these rates, in rising order, to the total; infinite if they don't exceed
     * it.
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
