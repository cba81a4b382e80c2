package rosespread.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.HdrHistogram.Histogram;
import rosespread.scenario.InvariantResult.Verdict;

/** Writes a report as JSON. The names are compared over versions of the program and stay. */
final class JsonReportWriter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double DECIMALS = 10_000;

    private final ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private final Report report;

    JsonReportWriter(Report report) {
        this.report = report;
    }

    /**
     * The whole report, ending with a line feed.
     *
     * @throws IOException if it cannot be written as JSON
     */
    String write() throws IOException {
        ObjectNode out = json.createObjectNode();
        out.put("scenario", report.scenario().name()).put("seed", report.seed());
        writeInvariants(out.putObject("rules"));
        long rpcs = report.overall().rpcs();
        double seconds = report.scenario().durationNanos() / NANOS_PER_SECOND;
        out.put("service", round(report.service()))
                .put("rpcs", rpcs)
                .put("rpcsPerSecond", round(rpcs / seconds));
        writeMethods(out.putObject("byMethod"));
        out.set("tablesRefused", json.valueToTree(report.refusals()));
        writeDurations(out);
        writeUsage(out);
        writeSlots(out.putArray("overTime"));
        writeEvents(out.putArray("events"));
        return json.writeValueAsString(out) + "\n";
    }

    private void writeInvariants(ObjectNode rules) {
        for (InvariantResult result : report.invariants()) {
            ObjectNode rule = rules.putObject(result.name());
            rule.put("kept", toNullableBoolean(result.verdict()))
                    .put("worst", round(result.worst()))
                    .put("limit", result.limit())
                    .put("checked", result.checked())
                    .put("worstAt", result.worstAt());
            ArrayNode violations = rule.putArray("breaks");
            result.violations().forEach(violations::add);
        }
    }

    /** Null stands for a rule that there was no occasion to break. */
    private static Boolean toNullableBoolean(Verdict verdict) {
        return verdict == Verdict.NOT_SEEN ? null : Boolean.valueOf(verdict == Verdict.KEPT);
    }

    private void writeMethods(ObjectNode methods) {
        report.byMethod()
                .forEach(
                        (name, tally) ->
                                methods.putObject(name)
                                        .put("service", round(tally.service()))
                                        .put("rpcs", tally.rpcs())
                                        .put("ok", tally.succeeded())
                                        .put("inTime", tally.inTime())
                                        .put("pushedBack", tally.rejected())
                                        .put("aborted", tally.failed())
                                        .put("tries", tally.attempts())
                                        .put("p50Ms", tally.latencyMillis(50))
                                        .put("p99Ms", tally.latencyMillis(99)));
    }

    private void writeDurations(ObjectNode out) {
        RunDurations durations = report.durations();
        writeDuration(out.putObject("drainSeconds"), durations.drains());
        writeDuration(out.putObject("operatorDrainTrySeconds"), durations.operatorDrains());
        writeDuration(out.putObject("rollbackSeconds"), durations.rollbacks());
        writeDuration(out.putObject("changeSeconds"), durations.changes());
        writeDuration(out.putObject("changePacedSeconds"), durations.pacedChanges());
    }

    private static void writeDuration(ObjectNode node, Histogram millis) {
        node.put("p50", RunDurations.seconds(millis, 50))
                .put("p99", RunDurations.seconds(millis, 99))
                .put("max", RunDurations.maxSeconds(millis))
                .put("count", millis.getTotalCount());
    }

    private void writeUsage(ObjectNode out) {
        double cpuSeconds = report.usage().cpuSeconds();
        out.put("messagesPerProxyMost", report.invariant("messagesPerProxy").worst())
                .put("linesWaitingMost", report.invariant("shortQueue").worst())
                .put("conductorCpuSeconds", round(cpuSeconds))
                .put("conductorCpuPerSecond", round(cpuSeconds / report.measuredSeconds()))
                .put("conductorRssMb", Math.round(report.usage().peakResidentMegabytes()));
    }

    private void writeSlots(ArrayNode slots) {
        report.bySlot()
                .forEach(
                        (slot, tallies) -> {
                            ObjectNode node =
                                    slots.addObject().put("from", slot * Report.SLOT_SECONDS);
                            tallies.forEach(
                                    (method, tally) -> node.put(method, round(tally.service())));
                        });
    }

    private void writeEvents(ArrayNode events) {
        for (Report.Event event : report.timedEvents()) {
            events.addObject().put("at", event.atSeconds()).put("what", event.description());
        }
    }

    private static double round(double value) {
        return Math.round(value * DECIMALS) / DECIMALS;
    }
}
