package rosespread.eventloop;

import java.util.Locale;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;
import rosespread.api.NodeId;
import rosespread.api.PolicyEvent;

/**
 * Writes the policy's events as log lines: a fixed message, and the figures as key-value pairs.
 * docs/on-call.md lists the messages. Used on the event-loop thread.
 */
public final class PolicyEventLogger {
    private final Logger logger;
    private final Function<NodeId, String> nodeNames;

    /**
     * @param logger takes the lines
     * @param nodeNames the name by which operators know a node
     */
    public PolicyEventLogger(Logger logger, Function<NodeId, String> nodeNames) {
        this.logger = logger;
        this.nodeNames = nodeNames;
    }

    /** Logs one event. */
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
            logTimeout(line, timeout);
        } else {
            line.log(event.text());
        }
    }

    private void logEjected(LoggingEventBuilder line, PolicyEvent.NodeEjected event) {
        line.addKeyValue("node", nodeNames.apply(event.node()))
                .addKeyValue("failureRatio", figure(event.failureRatio()))
                .addKeyValue("attempts", figure(event.attempts()))
                .addKeyValue("othersFailureRatio", figure(event.othersFailureRatio()))
                .log("node ejected");
    }

    private void logReadmitted(LoggingEventBuilder line, PolicyEvent.NodeReadmitted event) {
        line.addKeyValue("node", nodeNames.apply(event.node()))
                .addKeyValue("failureRatio", figure(event.failureRatio()))
                .addKeyValue("ejectedSeconds", figure(event.ejectedSeconds()))
                .log("node readmitted");
    }

    private static void logPanicMode(LoggingEventBuilder line, PolicyEvent.PanicModeChanged event) {
        line.addKeyValue("table", event.table().value())
                .addKeyValue("ejectedCapacity", figure(event.ejectedCapacity()))
                .addKeyValue("capacity", figure(event.capacity()))
                .log(event.started() ? "panic mode started" : "panic mode ended");
    }

    private static void logLoadShedding(
            LoggingEventBuilder line, PolicyEvent.LoadSheddingChanged event) {
        line.addKeyValue("demandPerSecond", figure(event.demand()))
                .addKeyValue("availablePerSecond", figure(event.availableCapacity()))
                .log(event.started() ? "load shedding started" : "load shedding ended");
    }

    private static void logTimeout(
            LoggingEventBuilder line, PolicyEvent.AcknowledgementTimedOut event) {
        line.addKeyValue("table", event.table().value())
                .addKeyValue("version", event.version())
                .addKeyValue("count", event.missingAcknowledgements())
                .log("table update not acknowledged in time");
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
