package rosespread.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import rosespread.api.NodeId;
import rosespread.api.PolicyEvent;
import rosespread.api.TableId;

class PolicyEventLoggerTest {
    private static Stream<Arguments> events() {
        return Stream.of(
                Arguments.of(
                        new PolicyEvent.NodeEjected(new NodeId(7), 0.6, 12, 0.02),
                        "node ejected node=n7 failureRatio=0.60 attempts=12.00"
                                + " othersFailureRatio=0.02"),
                Arguments.of(
                        new PolicyEvent.NodeReadmitted(new NodeId(7), 0.1, 4.25),
                        "node readmitted node=n7 failureRatio=0.10 ejectedSeconds=4.25"),
                Arguments.of(
                        new PolicyEvent.PanicModeChanged(new TableId(2), true, 3, 5),
                        "panic mode started table=2 ejectedCapacity=3.00 capacity=5.00"),
                Arguments.of(
                        new PolicyEvent.PanicModeChanged(new TableId(2), false, 1, 5),
                        "panic mode ended table=2 ejectedCapacity=1.00 capacity=5.00"),
                Arguments.of(
                        new PolicyEvent.LoadSheddingChanged(true, 900, 800.5),
                        "load shedding started demandPerSecond=900.00 availablePerSecond=800.50"),
                Arguments.of(
                        new PolicyEvent.LoadSheddingChanged(false, 500, 800.5),
                        "load shedding ended demandPerSecond=500.00 availablePerSecond=800.50"),
                Arguments.of(
                        new PolicyEvent.AcknowledgementTimedOut(new TableId(2), 9, 3),
                        "table update not acknowledged in time table=2 version=9 count=3"),
                Arguments.of(
                        new PolicyEvent.KeyRangeTablesIgnored(),
                        "key range tables are not decided by this policy: they stay as they are "));
    }

    @ParameterizedTest
    @MethodSource("events")
    void logsEachEventAsOneLineWithKeyValuePairs(PolicyEvent event, String expected) {
        LoggerContext context = new LoggerContext();
        Logger logger = context.getLogger("policy");
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);
        new PolicyEventLogger(logger, node -> "n" + node.value()).log(event);
        assertEquals(1, lines.list.size());
        assertEquals(expected, describe(lines.list.get(0)));
    }

    private static String describe(ILoggingEvent line) {
        String pairs =
                line.getKeyValuePairs() == null
                        ? ""
                        : line.getKeyValuePairs().stream()
                                .map(pair -> pair.key + "=" + pair.value)
                                .collect(Collectors.joining(" "));
        return line.getFormattedMessage() + " " + pairs;
    }
}
