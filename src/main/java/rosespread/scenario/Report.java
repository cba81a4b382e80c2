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
 * What a scenario run showed, as JSON with stable names and as text for people. Written on the
 * loop's thread while the run lasts; its public methods are for the time after.
 */
public final class Report {
    /** Service is shown for each slot of the day of this length. */
    static final int SLOT_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int EVENT_TIME_DIGITS = 100;

    /** Something that happened, in seconds of the day. */
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

    /** The day, and with it the time of events, counts from this time of the loop's clock. */
    void setMeasurementStart(long nanos) {
        measurementStartNanos = nanos;
    }

    /** CPU time counts from here on. */
    void startCpuMeasurement(List<ControllerProcess> controllers) {
        usage.start(controllers);
    }

    /** Adds an event at a time of the loop's clock. */
    void event(long nanos, String description) {
        double seconds = (nanos - measurementStartNanos) / NANOS_PER_SECOND;
        events.add(
                new Event(
                        Math.round(seconds * EVENT_TIME_DIGITS) / (double) EVENT_TIME_DIGITS,
                        description));
    }

    /** Counts an RPC, unless it was due before the day. */
    void rpcEnded(OpenLoopClients.Arrival rpc, RpcResult result, long latencyNanos, int tries) {
        if (rpc.dueNanos() < 0) {
            return;
        }
        String method = rpc.method().name();
        int slot = (int) (rpc.dueNanos() / NANOS_PER_SECOND / SLOT_SECONDS);
        ServiceTally inSlot =
                bySlot.computeIfAbsent(slot, s -> new TreeMap<>())
                        .computeIfAbsent(method, m -> new ServiceTally());
        overall.add(rpc.method(), result, latencyNanos, tries);
        byMethod.get(method).add(rpc.method(), result, latencyNanos, tries);
        inSlot.add(rpc.method(), result, latencyNanos, tries);
    }

    /** Measures the controllers' processes; called often. */
    void sampleProcesses(List<ControllerProcess> controllers) {
        usage.sample(controllers);
    }

    /** The day is over: takes over what the checker found. */
    void complete(InvariantChecker checker, long nanos, List<ControllerProcess> controllers) {
        measuredSeconds = (nanos - measurementStartNanos) / NANOS_PER_SECOND;
        usage.sample(controllers);
        checker.results().forEach(result -> invariants.put(result.name(), result));
        durations = RunDurations.of(checker);
    }

    /** Adds how often a controller's validator refused a table, by reason, from its tables. */
    void addRefusals(JsonNode tables) {
        for (JsonNode table : tables) {
            for (Map.Entry<String, JsonNode> count : table.path("refused").properties()) {
                refusals.merge(count.getKey(), count.getValue().asLong(), Long::sum);
            }
        }
    }

    /** Says where the controllers' logs were left. */
    void addLogFolder(Path folder) {
        events.add(
                new Event(
                        measuredSeconds,
                        "a rule was broken; the conductors' logs are in " + folder));
    }

    /** Whether the day was played to its end and no rule was broken. */
    public boolean hasPassed() {
        return !invariants.isEmpty()
                && invariants.values().stream()
                        .noneMatch(result -> result.verdict() == Verdict.BROKEN);
    }

    /** Service over the whole day, 0 to 1. */
    public double service() {
        return overall.service();
    }

    /**
     * How often a rule could have been broken.
     *
     * @param rule its name in the JSON
     */
    public long checked(String rule) {
        return invariants.get(rule).checked();
    }

    /**
     * How a rule was broken, first cases first; empty if it was not.
     *
     * @param rule its name in the JSON
     */
    public List<String> violations(String rule) {
        return invariants.get(rule).violations();
    }

    /** How often tables were refused, by reason, over all controllers as they were at the end. */
    public Map<String, Long> refusals() {
        return Collections.unmodifiableMap(refusals);
    }

    /** The faults and operators' acts as they came, without times. */
    public List<String> events() {
        return events.stream().map(Event::description).toList();
    }

    /**
     * The report as JSON with stable names, ending with a line feed.
     *
     * @throws IOException if it cannot be written as JSON
     */
    public String json() throws IOException {
        return new JsonReportWriter(this).write();
    }

    /** The same for people. */
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

    /** Tallies by slot of the day and by method; see {@link #SLOT_SECONDS}. */
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
