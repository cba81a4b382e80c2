package rosespread.platform;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import rosespread.api.ZoneId;

/**
 * Logs one status line per second and, at debug level, one line per listed node. Runs on the
 * event-loop thread.
 */
final class StatusReporter {
    private static final Logger LOG = LoggerFactory.getLogger(StatusReporter.class);
    private static final long INTERVAL_NANOS = 1_000_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PlatformState state;
    private final PlatformMetrics metrics;
    private final Supplier<ProcessStatus> process;
    private long reportedNanos;

    /**
     * Reports on this state and these metrics.
     *
     * @param process reads the process metrics; called once per status line
     */
    StatusReporter(PlatformState state, PlatformMetrics metrics, Supplier<ProcessStatus> process) {
        this.state = state;
        this.metrics = metrics;
        this.process = process;
    }

    /** Logs if a second has passed since the last line; returns when the next line is due. */
    long reportIfDue(long now) {
        if (now - reportedNanos >= INTERVAL_NANOS) {
            reportedNanos = now;
            if (LOG.isDebugEnabled()) {
                state.nodeStatuses().forEach(StatusReporter::logNode);
            }
            logStatus();
        }
        return reportedNanos + INTERVAL_NANOS;
    }

    private static void logNode(NodeStatus node) {
        LoadReportStatistics.NodeTotals load = node.load();
        LOG.atDebug()
                .addKeyValue("node", node.entry().name())
                .addKeyValue("machineType", node.entry().kind())
                .addKeyValue("state", node.entry().state())
                .addKeyValue("weight", node.weight())
                .addKeyValue("attempts", load.attempts())
                .addKeyValue("failures", load.failures())
                .addKeyValue("latencyMillis", Math.round(load.meanLatencyMillis()))
                .addKeyValue("utilization", twoDecimals(load.utilization()))
                .log("node status");
    }

    private void logStatus() {
        LoggingEventBuilder line = LOG.atInfo();
        addState(line, state.status());
        line.addKeyValue("droppedMessages", metrics.droppedByReason());
        addReports(line, state.takeReportTotals());
        addConnections(line);
        addProcess(line, process.get());
        line.log("status");
    }

    private static void addState(LoggingEventBuilder line, PlatformStatus status) {
        line.addKeyValue("proxies", status.joinedProxies())
                .addKeyValue("subscribedProxies", status.subscribedProxies())
                .addKeyValue("nodes", status.listedNodes())
                .addKeyValue("excludedNodes", status.excludedNodes())
                .addKeyValue("rounds", status.rounds())
                .addKeyValue("maxRoundMicros", status.maxRoundNanos() / NANOS_PER_MICRO)
                .addKeyValue("messages", status.messages())
                .addKeyValue("bytes", status.bytes())
                .addKeyValue("pendingAcknowledgements", status.pendingAcknowledgements())
                .addKeyValue("maxPendingMillis", status.maxPendingNanos() / NANOS_PER_MILLI)
                .addKeyValue("queuedEntries", status.queuedEntries())
                .addKeyValue("unmatchedAcknowledgements", status.unmatchedAcknowledgements())
                .addKeyValue("loadReportsByZone", byZone(status.reportsByZone()));
    }

    private static void addReports(LoggingEventBuilder line, LoadReportStatistics.Totals totals) {
        line.addKeyValue("reports", totals.reports())
                .addKeyValue("attempts", totals.attempts())
                .addKeyValue("failures", totals.failures())
                .addKeyValue("demand", totals.demand())
                .addKeyValue("utilization", twoDecimals(totals.meanUtilization()));
    }

    private void addConnections(LoggingEventBuilder line) {
        for (PlatformMetrics.ConnectionEvent event : PlatformMetrics.ConnectionEvent.values()) {
            line.addKeyValue(event.logKey(), metrics.count(event));
        }
    }

    private static void addProcess(LoggingEventBuilder line, ProcessStatus status) {
        line.addKeyValue("openConnections", status.openConnections())
                .addKeyValue("maxWriteBufferBytes", status.maxWriteBufferBytes())
                .addKeyValue("residentKilobytes", status.residentKilobytes())
                .addKeyValue("fileDescriptors", status.fileDescriptors());
    }

    private static String byZone(Map<ZoneId, Long> counts) {
        return new TreeMap<>(counts)
                .entrySet().stream()
                        .map(entry -> entry.getKey().value() + ":" + entry.getValue())
                        .collect(Collectors.joining(","));
    }

    private static String twoDecimals(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
