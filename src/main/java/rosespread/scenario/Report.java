package rosespread.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rosespread.testbed.FakeProxy;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.SiteDefinition;

/** What a rehearsal showed, as JSON with stable names and as text for people. */
public final class Report {
    private static final double SECOND = 1e9;
    private static final int SLOT_SECONDS = 5;

    private static final class Tally {
        double asked;
        double earned;
        long rpcs;
        long ok;
        long inTime;
        long pushedBack;
        long others;
        long tries;
        final Histogram latency = new Histogram(3);

        double service() {
            return asked == 0 ? 1 : earned / asked;
        }
    }

    private record Event(double at, String what) {}

    private final ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private final Scenario scenario;
    private final long seed;
    private final Tally all = new Tally();
    private final Map<String, Tally> byMethod = new LinkedHashMap<>();
    private final Map<Integer, Map<String, Tally>> bySlot = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, InvariantChecker.InvariantResult> rules = new LinkedHashMap<>();
    private final Map<String, Long> refused = new TreeMap<>();
    private Histogram drains = new Histogram(3);
    private Histogram operatorDrains = new Histogram(3);
    private Histogram rollbacks = new Histogram(3);
    private Histogram changes = new Histogram(3);
    private Histogram paced = new Histogram(3);
    private long start;
    private double seconds;
    private double cpuSeconds;
    private double cpuAtStart;
    private double rssMb;

    Report(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        scenario.site().methods().forEach(m -> byMethod.put(m.name(), new Tally()));
    }

    void setDayStart(long at) {
        start = at;
    }

    void startCpuMeasurement(List<ControllerProcess> conductors) {
        sampleProcesses(conductors);
        cpuAtStart = cpuSeconds;
    }

    void event(long at, String what) {
        events.add(new Event(Math.round((at - start) / SECOND * 100) / 100.0, what));
    }

    /** RPCs of the time before the day do not count. */
    void rpcEnded(OpenLoopClients.Arrival rpc, FakeProxy.Result result, long latency, int tries) {
        if (rpc.dueNanos() < 0) {
            return;
        }
        SiteDefinition.Method method = rpc.method();
        boolean ok = result == FakeProxy.Result.OK && latency <= method.deadlineNanos();
        boolean inTime = ok && latency <= method.latencyObjectiveNanos();
        double earned = method.priorityWeight() * (inTime ? 1 : ok ? method.lateValueRatio() : 0);
        int slot = (int) (rpc.dueNanos() / SECOND / SLOT_SECONDS);
        for (Tally tally :
                List.of(
                        all,
                        byMethod.get(method.name()),
                        bySlot.computeIfAbsent(slot, s -> new TreeMap<>())
                                .computeIfAbsent(method.name(), m -> new Tally()))) {
            tally.asked += method.priorityWeight();
            tally.earned += earned;
            tally.rpcs++;
            tally.tries += tries;
            tally.ok += ok ? 1 : 0;
            tally.inTime += inTime ? 1 : 0;
            tally.pushedBack += result == FakeProxy.Result.PUSHED_BACK ? 1 : 0;
            tally.others += !ok && result != FakeProxy.Result.PUSHED_BACK ? 1 : 0;
            if (ok) {
                tally.latency.recordValue(latency / 1000);
            }
        }
    }

    void sampleProcesses(List<ControllerProcess> conductors) {
        for (ControllerProcess conductor : conductors) {
            if (conductor.isAlive()) {
                rssMb = Math.max(rssMb, conductor.residentMegabytes());
            }
        }
        cpuSeconds =
                Math.max(
                        cpuSeconds,
                        conductors.stream().mapToDouble(c -> c.cpuTime().toNanos() / SECOND).sum());
    }

    void complete(InvariantChecker auditor, long at, List<ControllerProcess> conductors) {
        seconds = (at - start) / SECOND;
        sampleProcesses(conductors);
        rules.put("noProxyWithoutNode", auditor.noProxyWithoutNode);
        rules.put("noEffectTwice", auditor.noEffectTwice);
        rules.put("drainsKept", auditor.drainsKept);
        rules.put("noColdNodePushedOver", auditor.noColdNodePushedOver);
        rules.put("shortQueue", auditor.shortQueue);
        rules.put("messagesPerProxy", auditor.messages);
        rules.put("tablesInMeasure", auditor.tables);
        rules.put("rollbacksInTime", auditor.rollbacksInTime);
        rules.put("versionsRise", auditor.versionsRise);
        rules.put("answersKept", auditor.answersKept);
        rollbacks = auditor.rollbacks;
        drains = auditor.drains;
        operatorDrains = auditor.operatorDrains;
        changes = auditor.changes();
        paced = auditor.paced();
    }

    /** How often a conductor's gate refused a table, by reason. */
    void refused(JsonNode tables) {
        tables.forEach(
                table ->
                        table.path("refused")
                                .properties()
                                .forEach(
                                        count ->
                                                refused.merge(
                                                        count.getKey(),
                                                        count.getValue().asLong(),
                                                        Long::sum)));
    }

    /** How often tables were refused, by reason, over all conductors as they were at the end. */
    public Map<String, Long> refused() {
        return Collections.unmodifiableMap(refused);
    }

    void addLogFolder(Path folder) {
        events.add(new Event(seconds, "a rule was broken; the conductors' logs are in " + folder));
    }

    /** Whether no rule was broken. */
    public boolean kept() {
        return !rules.isEmpty()
                && rules.values().stream().noneMatch(rule -> Boolean.FALSE.equals(rule.kept()));
    }

    /** Service over the whole day, 0 to 1. */
    public double service() {
        return all.service();
    }

    /** How often a rule could have been broken. */
    public long checked(String rule) {
        return rules.get(rule).checked;
    }

    /** How a rule was broken, first cases first; empty if it was not. */
    public List<String> breaks(String rule) {
        return List.copyOf(rules.get(rule).breaks);
    }

    /** The troubles and strikes as they came, without times. */
    public List<String> events() {
        return events.stream().map(Event::what).toList();
    }

    public String json() throws IOException {
        ObjectNode out = json.createObjectNode();
        out.put("scenario", scenario.name()).put("seed", seed);
        ObjectNode ruleNodes = out.putObject("rules");
        rules.forEach(
                (name, rule) -> {
                    ObjectNode node = ruleNodes.putObject(name);
                    node.put("kept", rule.kept())
                            .put("worst", round(rule.worst))
                            .put("limit", rule.limit)
                            .put("checked", rule.checked)
                            .put("worstAt", rule.worstAt);
                    rule.breaks.forEach(node.putArray("breaks")::add);
                });
        out.put("service", round(all.service()))
                .put("rpcs", all.rpcs)
                .put("rpcsPerSecond", round(all.rpcs / (scenario.durationNanos() / SECOND)));
        ObjectNode methods = out.putObject("byMethod");
        byMethod.forEach(
                (name, tally) ->
                        methods.putObject(name)
                                .put("service", round(tally.service()))
                                .put("rpcs", tally.rpcs)
                                .put("ok", tally.ok)
                                .put("inTime", tally.inTime)
                                .put("pushedBack", tally.pushedBack)
                                .put("aborted", tally.others)
                                .put("tries", tally.tries)
                                .put("p50Ms", tally.latency.getValueAtPercentile(50) / 1000.0)
                                .put("p99Ms", tally.latency.getValueAtPercentile(99) / 1000.0));
        out.set("tablesRefused", json.valueToTree(refused));
        spans(out.putObject("drainSeconds"), drains);
        spans(out.putObject("operatorDrainTrySeconds"), operatorDrains);
        spans(out.putObject("rollbackSeconds"), rollbacks);
        spans(out.putObject("changeSeconds"), changes);
        spans(out.putObject("changePacedSeconds"), paced);
        out.put("messagesPerProxyMost", rules.get("messagesPerProxy").worst)
                .put("linesWaitingMost", rules.get("shortQueue").worst)
                .put("conductorCpuSeconds", round(cpuSeconds - cpuAtStart))
                .put("conductorCpuPerSecond", round((cpuSeconds - cpuAtStart) / seconds))
                .put("conductorRssMb", Math.round(rssMb));
        ArrayNode over = out.putArray("overTime");
        bySlot.forEach(
                (slot, tallies) -> {
                    ObjectNode node = over.addObject().put("from", slot * SLOT_SECONDS);
                    tallies.forEach((method, tally) -> node.put(method, round(tally.service())));
                });
        ArrayNode told = out.putArray("events");
        events.forEach(event -> told.addObject().put("at", event.at()).put("what", event.what()));
        return json.writeValueAsString(out) + "\n";
    }

    private static void spans(ObjectNode node, Histogram millis) {
        node.put("p50", millis.getValueAtPercentile(50) / 1000.0)
                .put("p99", millis.getValueAtPercentile(99) / 1000.0)
                .put("max", millis.getMaxValue() / 1000.0)
                .put("count", millis.getTotalCount());
    }

    private static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }

    /** The same for people. */
    public String text() {
        StringBuilder out = new StringBuilder();
        line(
                out,
                "%s, seed %d: service %.4f, %d RPCs in %.0f s, conductors' CPU %.2f s, %.0f MB",
                scenario.name(),
                seed,
                service(),
                all.rpcs,
                scenario.durationNanos() / SECOND,
                cpuSeconds - cpuAtStart,
                rssMb);
        line(out, "%nrules");
        rules.forEach(
                (name, rule) -> {
                    Boolean kept = rule.kept();
                    line(
                            out,
                            "  %-22s %-9s worst %10.1f of %10.1f, checked %7d  %s",
                            name,
                            kept == null ? "not seen" : kept ? "kept" : "BROKEN",
                            rule.worst,
                            rule.limit,
                            rule.checked,
                            rule.worstAt);
                    rule.breaks.forEach(text -> line(out, "      %s", text));
                });
        line(out, "%nmethods");
        byMethod.forEach(
                (name, t) ->
                        line(
                                out,
                                "  %-14s service %.4f, %d RPCs, %d in time, %d pushed back, "
                                        + "%d aborted, p50 %.0f ms, p99 %.0f ms",
                                name,
                                t.service(),
                                t.rpcs,
                                t.inTime,
                                t.pushedBack,
                                t.others,
                                t.latency.getValueAtPercentile(50) / 1000.0,
                                t.latency.getValueAtPercentile(99) / 1000.0));
        line(
                out,
                "  drains: last send after p50 %.2f s, p99 %.2f s, most %.2f s (%d)",
                drains.getValueAtPercentile(50) / 1000.0,
                drains.getValueAtPercentile(99) / 1000.0,
                drains.getMaxValue() / 1000.0,
                drains.getTotalCount());
        line(
                out,
                "  changes: at the last proxy after p50 %.2f s, p99 %.2f s; pace p50 %.2f s, p99 %.2f s",
                changes.getValueAtPercentile(50) / 1000.0,
                changes.getValueAtPercentile(99) / 1000.0,
                paced.getValueAtPercentile(50) / 1000.0,
                paced.getValueAtPercentile(99) / 1000.0);
        if (operatorDrains.getTotalCount() > 0) {
            line(
                    out,
                    "  tries at nodes that operators drain: %d, p50 %.2f s after, p99 %.2f s, last %.2f s",
                    operatorDrains.getTotalCount(),
                    operatorDrains.getValueAtPercentile(50) / 1000.0,
                    operatorDrains.getValueAtPercentile(99) / 1000.0,
                    operatorDrains.getMaxValue() / 1000.0);
        }
        if (!refused.isEmpty()) {
            line(out, "  tables refused before release: %s", refused);
        }
        line(out, "%nservice over time, and what happened");
        bySlot.forEach(
                (slot, tallies) -> {
                    StringBuilder row = new StringBuilder();
                    tallies.forEach(
                            (method, tally) ->
                                    row.append(
                                            String.format(
                                                    Locale.ROOT,
                                                    "  %s %.3f",
                                                    method,
                                                    tally.service())));
                    line(out, "  %3d s%s", slot * SLOT_SECONDS, row);
                    events.stream()
                            .filter(e -> (int) (e.at() / SLOT_SECONDS) == slot)
                            .forEach(e -> line(out, "         %6.2f  %s", e.at(), e.what()));
                });
        return out.toString();
    }

    private static void line(StringBuilder out, String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
    }
}
