package rosespread.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import rosespread.testbed.OpenLoopClients.Arrival;
import rosespread.testbed.SiteDefinition;

/**
 * Generates all RPC arrivals of a run in advance from the seed, so that the same seed gives the
 * same arrivals whatever happens during the run. Faults of clients and traffic, such as retries
 * without delay or RPCs that require more work, are applied to the arrivals.
 */
final class ArrivalGenerator {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Standard deviation of the logarithm of the work factor, which is log-normal; the shift keeps
     * the factor's mean at 1.
     */
    private static final double WORK_DEVIATION = 0.25;

    private static final double WORK_SHIFT = -WORK_DEVIATION * WORK_DEVIATION / 2;

    private static final String HOT_PROXY = "proxy-000";
    private static final int IMPATIENT_RETRIES = 3;

    private final Scenario scenario;
    private final SiteDefinition site;
    private final RandomGenerator random;
    private final double totalShare;

    private ArrivalGenerator(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.site = scenario.site();
        this.random = new SplittableRandom(seed);
        this.totalShare = site.methods().stream().mapToDouble(SiteDefinition.Method::share).sum();
    }

    /** Returns the mean RPCs per second of each proxy without faults, equal for all proxies. */
    static double[] requestRates(Scenario scenario) {
        double[] rates = new double[scenario.site().proxies().count()];
        Arrays.fill(rates, scenario.requestsPerSecond() / rates.length);
        return rates;
    }

    /** Returns the arrivals of a scenario's warm-up and measured period, in order of time. */
    static List<Arrival> arrivals(Scenario scenario, long seed) {
        return new ArrivalGenerator(scenario, seed).generate();
    }

    private List<Arrival> generate() {
        List<Arrival> arrivals = new ArrayList<>();
        double dueNanos = nextDueNanos(-scenario.warmUpNanos());
        for (long number = 1; dueNanos < scenario.durationNanos(); number++) {
            arrivals.add(drawArrival(number, (long) dueNanos));
            dueNanos = nextDueNanos(dueNanos);
        }
        return arrivals;
    }

    private double nextDueNanos(double nanos) {
        return nanos
                + -Math.log(1 - random.nextDouble())
                        / scenario.requestsPerSecond()
                        * NANOS_PER_SECOND;
    }

    private Arrival drawArrival(long number, long dueNanos) {
        SiteDefinition.Method method = drawMethod();
        Draft draft = new Draft(scenario.clients(), method);
        draft.work =
                method.workNanos() * Math.exp(WORK_DEVIATION * random.nextGaussian() + WORK_SHIFT);
        draft.zone = site.zones().get(random.nextInt(site.zones().size()));
        double proxyPosition = random.nextDouble();
        double sample = random.nextDouble();
        for (Fault fault : scenario.faults()) {
            if (fault.isActiveAt(dueNanos)) {
                draft.apply(fault, sample);
            }
        }
        return draft.toArrival(number, dueNanos, proxyPosition);
    }

    private SiteDefinition.Method drawMethod() {
        double draw = random.nextDouble() * totalShare;
        for (SiteDefinition.Method method : site.methods()) {
            draw -= method.share();
            if (draw < 0) {
                return method;
            }
        }
        return site.methods().get(site.methods().size() - 1);
    }

    /** An arrival under construction, to which faults are applied. */
    private static final class Draft {
        private final SiteDefinition.Method method;
        private double work;
        private String zone;
        private String hotProxy;
        private int retries;
        private long retryDelayNanos;
        private double deadlineRatio;

        Draft(Scenario.Clients clients, SiteDefinition.Method method) {
            this.method = method;
            this.retries = clients.retries();
            this.retryDelayNanos = clients.retryDelayNanos();
            this.deadlineRatio = clients.deadlineRatio();
        }

        /**
         * Applies a fault that is active when the RPC is due.
         *
         * @param sample uniform, 0 to 1; the fault affects the RPC if it is below the fault's share
         */
        void apply(Fault fault, double sample) {
            boolean affected = sample < fault.share();
            switch (fault.kind()) {
                case COSTLY_RPCS ->
                        work *=
                                affected && method.name().equals(fault.method())
                                        ? fault.factor()
                                        : 1;
                case SHIFT -> zone = affected ? fault.zone() : zone;
                case HOT_PROXY -> hotProxy = affected ? HOT_PROXY : hotProxy;
                case CLIENTS_GIVE_UP -> deadlineRatio = Math.min(deadlineRatio, fault.share());
                case IMPATIENT_CLIENTS -> {
                    retries = Math.max(retries, IMPATIENT_RETRIES);
                    retryDelayNanos = 0;
                }
                default -> {
                    // The other faults affect the site, not its clients.
                }
            }
        }

        Arrival toArrival(long number, long dueNanos, double proxyPosition) {
            return new Arrival(
                    number,
                    dueNanos,
                    method,
                    zone,
                    proxyPosition,
                    hotProxy,
                    (long) work,
                    retries,
                    retryDelayNanos,
                    deadlineRatio);
        }
    }
}
