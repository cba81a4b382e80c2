package rosespread.scenario;

import java.util.List;

/** CPU time and memory of the controller processes. Confined to the loop's thread. */
final class ProcessUsage {
    private static final double NANOS_PER_SECOND = 1e9;

    private double cpuSeconds;
    private double cpuSecondsAtStart;
    private double peakResidentMegabytes;

    /** Starts the measurement of CPU time; earlier CPU time is not counted. */
    void start(List<ControllerProcess> controllers) {
        sample(controllers);
        cpuSecondsAtStart = cpuSeconds;
    }

    void sample(List<ControllerProcess> controllers) {
        for (ControllerProcess controller : controllers) {
            if (controller.isAlive()) {
                peakResidentMegabytes =
                        Math.max(peakResidentMegabytes, controller.residentMegabytes());
            }
        }
        double sum =
                controllers.stream()
                        .mapToDouble(c -> c.cpuTime().toNanos() / NANOS_PER_SECOND)
                        .sum();
        // The CPU time read for a process that is ending can be lower than an earlier reading.
        cpuSeconds = Math.max(cpuSeconds, sum);
    }

    /** Total CPU time of all controllers since {@link #start}. */
    double cpuSeconds() {
        return cpuSeconds - cpuSecondsAtStart;
    }

    /** The largest resident memory of any one process, in megabytes. */
    double peakResidentMegabytes() {
        return peakResidentMegabytes;
    }
}
