package rosespread.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.SiteDefinition;

/**
 * Draws a day's arrivals ahead from the seed: the same seed gives the same day, whatever happens in
 * it.
 */
final class ArrivalGenerator {
    private static final double SECOND = 1e9;

    private ArrivalGenerator() {}

    /** Usual RPCs a second of each proxy: all alike within a zone. */
    static double[] requestRates(Scenario scenario) {
        double[] rates = new double[scenario.site().proxies().count()];
        java.util.Arrays.fill(rates, scenario.requestsPerSecond() / rates.length);
        return rates;
    }

    static List<OpenLoopClients.Arrival> arrivals(Scenario scenario, long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        SiteDefinition site = scenario.site();
        List<OpenLoopClients.Arrival> day = new ArrayList<>();
        double share = site.methods().stream().mapToDouble(SiteDefinition.Method::share).sum();
        double at = -scenario.warmUpNanos();
        for (long number = 1; ; number++) {
            at += -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond() * SECOND;
            if (at >= scenario.durationNanos()) {
                return day;
            }
            double draw = random.nextDouble() * share;
            SiteDefinition.Method method = site.methods().get(site.methods().size() - 1);
            for (SiteDefinition.Method each : site.methods()) {
                draw -= each.share();
                if (draw < 0) {
                    method = each;
                    break;
                }
            }
            // Work spreads by a log-normal of a quarter, scaled to the mean.
            double work = method.workNanos() * Math.exp(0.25 * random.nextGaussian() - 0.03125);
            String zone = site.zones().get(random.nextInt(site.zones().size()));
            double place = random.nextDouble();
            double chance = random.nextDouble();
            String hot = null;
            int retries = scenario.clients().retries();
            long wait = scenario.clients().retryDelayNanos();
            double patience = scenario.clients().deadlineRatio();
            for (Fault trouble : scenario.faults()) {
                if (!trouble.isActiveAt((long) at)) {
                    continue;
                }
                switch (trouble.kind()) {
                    case COSTLY_RPCS ->
                            work *=
                                    method.name().equals(trouble.method())
                                                    && chance < trouble.share()
                                            ? trouble.factor()
                                            : 1;
                    case SHIFT -> zone = chance < trouble.share() ? trouble.zone() : zone;
                    case HOT_PROXY -> hot = chance < trouble.share() ? "proxy-000" : hot;
                    case CLIENTS_GIVE_UP -> patience = Math.min(patience, trouble.share());
                    case IMPATIENT_CLIENTS -> {
                        retries = Math.max(retries, 3);
                        wait = 0;
                    }
                    default -> {}
                }
            }
            day.add(
                    new OpenLoopClients.Arrival(
                            number,
                            (long) at,
                            method,
                            zone,
                            place,
                            hot,
                            (long) work,
                            retries,
                            wait,
                            patience));
        }
    }
}
