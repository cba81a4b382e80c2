package rosespread.scenario;

import java.util.List;

/** CPU time and memory of the controllers' processes. Confined to the loop's thread. */
final class ProcessUsage {
    private static final double NANOS_PER_SECOND = 1e9;

    private double cpuSeconds;
    private double cpuSecondsBefore;
    private double peakResidentMegabytes;

    /** CPU time counts from here on. */
    void start(List<ControllerProcess> controllers) {
        sample(controllers);
        cpuSecondsBefore = cpuSeconds;
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
        // A process that is ending may show less than it did before.
        cpuSeconds = Math.max(cpuSeconds, sum);
    }

    /** CPU time of all controllers together since the start. */
    double cpuSeconds() {
        return cpuSeconds - cpuSecondsBefore;
    }

    /** The most that one process had resident. */
    double peakResidentMegabytes() {
        return peakResidentMegabytes;
    }
}
