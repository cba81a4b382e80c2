package rosespread.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.scenario.InvariantResult.Verdict;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.RpcResult;

/**
 * The results of a scenario run, as JSON with stable names and as text for people. Written on the
 * loop's thread during the run; the public methods are for use after the run.
 */
public final class Report {
    /**
     * Length of the time slots for which the weighted fraction of served RPCs is reported
     * separately.
     */
    static final int SLOT_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int EVENT_TIME_STEPS_PER_SECOND = 100;

    /** A fault or operator action; the time is in seconds since the start of the measurement. */
    record Event(double atSeconds, String description) {}

    private final Scenario scenario;
    private final long seed;
    private final ServiceTally overall = new ServiceTally();
    private final Map<String, ServiceTally> byMethod = new LinkedHashMap<>();
    private final Map<Integer, Map<String, ServiceTally>> bySlot = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, InvariantResult> invariants = new LinkedHashMap<>();
    private final Map<String, Long> refusals = new TreeMap<>();
    private final ProcessUsage usage = new ProcessUsage();
    private RunDurations durations;
    private long measurementStartNanos;
    private double measuredSeconds;

    Report(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        scenario.site().methods().forEach(m -> byMethod.put(m.name(), new ServiceTally()));
    }

    /** Sets the start of the measurement, from which event times count, on the loop's clock. */
    void setMeasurementStart(long nanos) {
        measurementStartNanos = nanos;
    }

    /** Starts the measurement of CPU time; earlier CPU time is not counted. */
    void startCpuMeasurement(List<ControllerProcess> controllers) {
        usage.start(controllers);
    }

    /** Adds an event; {@code nanos} is a time of the loop's clock. */
    void event(long nanos, String description) {
        double seconds = (nanos - measurementStartNanos) / NANOS_PER_SECOND;
        events.add(
                new Event(
                        Math.round(seconds * EVENT_TIME_STEPS_PER_SECOND)
                                / (double) EVENT_TIME_STEPS_PER_SECOND,
                        description));
    }

    /** Counts an RPC, unless it was due before the start of the measurement. */
    void rpcEnded(OpenLoopClients.Arrival rpc, RpcResult result, long latencyNanos, int tries) {
        if (rpc.dueNanos() < 0) {
            return;
        }
        String method = rpc.method().name();
        int slot = (int) (rpc.dueNanos() / NANOS_PER_SECOND / SLOT_SECONDS);
        ServiceTally slotTally =
                bySlot.computeIfAbsent(slot, s -> new TreeMap<>())
                        .computeIfAbsent(method, m -> new ServiceTally());
        overall.add(rpc.method(), result, latencyNanos, tries);
        byMethod.get(method).add(rpc.method(), result, latencyNanos, tries);
        slotTally.add(rpc.method(), result, latencyNanos, tries);
    }

    /** Samples CPU time and memory of the controller processes; called periodically. */
    void sampleProcesses(List<ControllerProcess> controllers) {
        usage.sample(controllers);
    }

    /** Ends the measurement and stores the checker's results. */
    void complete(InvariantChecker checker, long nanos, List<ControllerProcess> controllers) {
        measuredSeconds = (nanos - measurementStartNanos) / NANOS_PER_SECOND;
        usage.sample(controllers);
        checker.results().forEach(result -> invariants.put(result.name(), result));
        durations = RunDurations.of(checker);
    }

    /** Adds the refusals of a controller's table validator, by reason, from its table status. */
    void addRefusals(JsonNode tables) {
        for (JsonNode table : tables) {
            for (Map.Entry<String, JsonNode> count : table.path("refused").properties()) {
                refusals.merge(count.getKey(), count.getValue().asLong(), Long::sum);
            }
        }
    }

    /** Adds an event that names the folder of the controllers' logs. */
    void addLogFolder(Path folder) {
        events.add(
                new Event(measuredSeconds, "invariant violated; controller logs are in " + folder));
    }

    /** Whether the run was completed and no invariant was violated. */
    public boolean hasPassed() {
        return !invariants.isEmpty()
                && invariants.values().stream()
                        .noneMatch(result -> result.verdict() == Verdict.BROKEN);
    }

    /**
     * The weighted fraction of RPCs that were served over the whole measurement, 0 to 1; 1 if there
     * were no RPCs.
     */
    public double service() {
        return overall.service();
    }

    /**
     * How often an invariant was checked.
     *
     * @param invariant the invariant's name in the JSON
     */
    public long checked(String invariant) {
        return invariants.get(invariant).checked();
    }

    /**
     * The first violations of an invariant, in order of time; empty if there were none.
     *
     * @param invariant the invariant's name in the JSON
     */
    public List<String> violations(String invariant) {
        return invariants.get(invariant).violations();
    }

    /**
     * Number of refused tables by reason, from the counters of the controllers alive at the end.
     */
    public Map<String, Long> refusals() {
        return Collections.unmodifiableMap(refusals);
    }

    /** Descriptions of the faults and operator actions in the order in which they were added. */
    public List<String> events() {
        return events.stream().map(Event::description).toList();
    }

    /**
     * The report as JSON with stable names, ending with a line feed.
     *
     * @throws IOException if the report cannot be written as JSON
     */
    public String json() throws IOException {
        return new JsonReportWriter(this).write();
    }

    /** The report as text for people. */
    public String text() {
        return new TextReportWriter(this).write();
    }

    Scenario scenario() {
        return scenario;
    }

    long seed() {
        return seed;
    }

    ServiceTally overall() {
        return overall;
    }

    Map<String, ServiceTally> byMethod() {
        return Collections.unmodifiableMap(byMethod);
    }

    /** Tallies by time slot and by method; see {@link #SLOT_SECONDS}. */
    Map<Integer, Map<String, ServiceTally>> bySlot() {
        return Collections.unmodifiableMap(bySlot);
    }

    List<Event> timedEvents() {
        return Collections.unmodifiableList(events);
    }

    Collection<InvariantResult> invariants() {
        return invariants.values();
    }

    InvariantResult invariant(String name) {
        return invariants.get(name);
    }

    ProcessUsage usage() {
        return usage;
    }

    RunDurations durations() {
        return durations;
    }

    double measuredSeconds() {
        return measuredSeconds;
    }
}
