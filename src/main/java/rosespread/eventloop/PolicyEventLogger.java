package rosespread.eventloop;

import java.util.Locale;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;
import rosespread.api.NodeId;
import rosespread.api.PolicyEvent;

/**
 * Logs the policy's events, each as one line with a fixed message and its figures as key-value
 * pairs. docs/on-call.md lists the messages. Used on the event loop's thread.
 */
public final class PolicyEventLogger {
    private final Logger logger;
    private final Function<NodeId, String> nodeNames;

    /**
     * @param logger the logger that the lines are written to
     * @param nodeNames maps a node's id to its name in the log
     */
    public PolicyEventLogger(Logger logger, Function<NodeId, String> nodeNames) {
        this.logger = logger;
        this.nodeNames = nodeNames;
    }

    /** Logs the event at level INFO. */
    public void log(PolicyEvent event) {
        LoggingEventBuilder line = logger.atInfo();
        if (event instanceof PolicyEvent.NodeEjected ejected) {
            logEjected(line, ejected);
        } else if (event instanceof PolicyEvent.NodeReadmitted readmitted) {
            logReadmitted(line, readmitted);
        } else if (event instanceof PolicyEvent.PanicModeChanged panic) {
            logPanicMode(line, panic);
        } else if (event instanceof PolicyEvent.LoadSheddingChanged shedding) {
            logLoadShedding(line, shedding);
        } else if (event instanceof PolicyEvent.AcknowledgementTimedOut timeout) {
            logAcknowledgementTimeout(line, timeout);
        } else {
            line.log(event.text());
        }
    }

    private void logEjected(LoggingEventBuilder line, PolicyEvent.NodeEjected event) {
        line.addKeyValue("node", nodeNames.apply(event.node()))
                .addKeyValue("failureRatio", formatDecimal(event.failureRatio()))
                .addKeyValue("attempts", formatDecimal(event.attempts()))
                .addKeyValue("othersFailureRatio", formatDecimal(event.othersFailureRatio()))
                .log("node ejected");
    }

    private void logReadmitted(LoggingEventBuilder line, PolicyEvent.NodeReadmitted event) {
        line.addKeyValue("node", nodeNames.apply(event.node()))
                .addKeyValue("failureRatio", formatDecimal(event.failureRatio()))
                .addKeyValue("ejectedSeconds", formatDecimal(event.ejectedSeconds()))
                .log("node readmitted");
    }

    private static void logPanicMode(LoggingEventBuilder line, PolicyEvent.PanicModeChanged event) {
        line.addKeyValue("table", event.table().value())
                .addKeyValue("ejectedCapacity", formatDecimal(event.ejectedCapacity()))
                .addKeyValue("capacity", formatDecimal(event.capacity()))
                .log(event.started() ? "panic mode started" : "panic mode ended");
    }

    private static void logLoadShedding(
            LoggingEventBuilder line, PolicyEvent.LoadSheddingChanged event) {
        line.addKeyValue("demandPerSecond", formatDecimal(event.demand()))
                .addKeyValue("availablePerSecond", formatDecimal(event.availableCapacity()))
                .log(event.started() ? "load shedding started" : "load shedding ended");
    }

    private static void logAcknowledgementTimeout(
            LoggingEventBuilder line, PolicyEvent.AcknowledgementTimedOut event) {
        line.addKeyValue("table", event.table().value())
                .addKeyValue("version", event.version())
                .addKeyValue("count", event.missingAcknowledgements())
                .log("table update not acknowledged in time");
    }

    private static String formatDecimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
