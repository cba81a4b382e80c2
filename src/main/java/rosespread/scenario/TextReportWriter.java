package rosespread.scenario;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import rosespread.scenario.InvariantResult.Verdict;

/** Writes a report as text for people. */
final class TextReportWriter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Report report;
    private final StringBuilder out = new StringBuilder();

    TextReportWriter(Report report) {
        this.report = report;
    }

    /** Writes the whole text; called once. */
    String write() {
        writeSummary();
        writeInvariants();
        writeMethods();
        writeDurations();
        if (!report.refusals().isEmpty()) {
            line("  tables refused before release: %s", report.refusals());
        }
        writeTimeline();
        return out.toString();
    }

    private void writeSummary() {
        line(
                "%s, seed %d: service %.4f, %d RPCs in %.0f s, controllers' CPU %.2f s, %.0f MB",
                report.scenario().name(),
                report.seed(),
                report.service(),
                report.overall().rpcs(),
                report.scenario().durationNanos() / NANOS_PER_SECOND,
                report.usage().cpuSeconds(),
                report.usage().peakResidentMegabytes());
    }

    private void writeInvariants() {
        line("%ninvariants");
        for (InvariantResult result : report.invariants()) {
            line(
                    "  %-22s %-9s worst %10.1f of %10.1f, checked %7d  %s",
                    result.name(),
                    describe(result.verdict()),
                    result.worst(),
                    result.limit(),
                    result.checked(),
                    result.worstAt());
            result.violations().forEach(violation -> line("      %s", violation));
        }
    }

    private static String describe(Verdict verdict) {
        return switch (verdict) {
            case KEPT -> "kept";
            case BROKEN -> "BROKEN";
            case NOT_SEEN -> "not seen";
        };
    }

    private void writeMethods() {
        line("%nmethods");
        report.byMethod()
                .forEach(
                        (name, tally) ->
                                line(
                                        "  %-14s service %.4f, %d RPCs, %d in time, %d rejected, "
                                                + "%d failed, p50 %.0f ms, p99 %.0f ms",
                                        name,
                                        tally.service(),
                                        tally.rpcs(),
                                        tally.inTime(),
                                        tally.rejected(),
                                        tally.failed(),
                                        tally.latencyMillis(50),
                                        tally.latencyMillis(99)));
    }

    private void writeDurations() {
        Histogram drains = report.durations().drains();
        line(
                "  drains: last attempt after p50 %.2f s, p99 %.2f s, max %.2f s (%d)",
                RunDurations.seconds(drains, 50),
                RunDurations.seconds(drains, 99),
                RunDurations.maxSeconds(drains),
                drains.getTotalCount());
        Histogram changes = report.durations().changes();
        Histogram paced = report.durations().pacedChanges();
        line(
                "  changes: at the last proxy after p50 %.2f s, p99 %.2f s; pacing p50 %.2f s, p99 %.2f s",
                RunDurations.seconds(changes, 50),
                RunDurations.seconds(changes, 99),
                RunDurations.seconds(paced, 50),
                RunDurations.seconds(paced, 99));
        Histogram operatorDrains = report.durations().operatorDrains();
        if (operatorDrains.getTotalCount() > 0) {
            line(
                    "  attempts at nodes drained by operators: %d, after p50 %.2f s, p99 %.2f s, max %.2f s",
                    operatorDrains.getTotalCount(),
                    RunDurations.seconds(operatorDrains, 50),
                    RunDurations.seconds(operatorDrains, 99),
                    RunDurations.maxSeconds(operatorDrains));
        }
    }

    private void writeTimeline() {
        line("%nservice and events over time");
        report.bySlot().forEach(this::writeSlot);
    }

    private void writeSlot(int slot, Map<String, ServiceTally> tallies) {
        StringBuilder row = new StringBuilder();
        tallies.forEach(
                (method, tally) ->
                        row.append(
                                String.format(Locale.ROOT, "  %s %.3f", method, tally.service())));
        line("  %3d s%s", slot * Report.SLOT_SECONDS, row);
        report.timedEvents().stream()
                .filter(event -> (int) (event.atSeconds() / Report.SLOT_SECONDS) == slot)
                .forEach(
                        event ->
                                line("         %6.2f  %s", event.atSeconds(), event.description()));
    }

    private void line(String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
    }
}
