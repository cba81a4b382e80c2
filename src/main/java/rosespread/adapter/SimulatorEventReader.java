package rosespread.adapter;

import java.util.List;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;
import rosespread.config.NameRegistry;

/** Decodes the simulator's events into calls of the policy's event handler. */
final class SimulatorEventReader {
    private static final double NANOS_PER_SECOND = 1e9;

    private final NameRegistry names;

    SimulatorEventReader(NameRegistry names) {
        this.names = names;
    }

    /**
     * Decodes one event completely before any of its calls is made. An event with an unknown name
     * adds no call.
     *
     * @param events the list that the calls are appended to
     * @throws ConfigException if a field is missing or has a wrong type, or if a name in it is
     *     unknown
     */
    void read(ConfigObject event, List<Consumer<EventHandler>> events) throws ConfigException {
        switch (event.text(WireNames.MESSAGE)) {
            case "Topology" -> readNodeList(event, events);
            case "Attached" -> events.add(proxyJoined(event));
            case "Unsubscribed" -> events.add(proxyLeft(event));
            case "Installed" -> events.add(acknowledged(event));
            case "Digest" -> events.add(loadReported(event));
            case "OfferedLoad" -> events.add(demandReported(event));
            case "PingResult" -> events.add(healthChecked(event));
            case "Wakeup" -> events.add(EventHandler::timerFired);
            default -> {}
        }
    }

    private void readNodeList(ConfigObject event, List<Consumer<EventHandler>> events)
            throws ConfigException {
        EventHandler.NodeListKind kind = WireNames.nodeListKind(event.text("kind"));
        events.add(handler -> handler.listStarted(kind));
        for (ConfigObject entry : event.objects("elements")) {
            events.add(nodeListed(entry));
        }
        events.add(EventHandler::listCompleted);
    }

    private Consumer<EventHandler> nodeListed(ConfigObject entry) throws ConfigException {
        NodeId node = node(entry);
        EventHandler.NodeState state = WireNames.nodeState(entry.text("lifecycle"));
        MachineTypeId machineType = names.machineType(entry.text("kind", ""));
        ZoneId zone = names.zone(entry.text(WireNames.ZONE, ""));
        double weight = entry.number(WireNames.WEIGHT, 1);
        double startedSeconds = entry.number("cameUp", 0);
        long startedNanos =
                startedSeconds == 0
                        ? Long.MIN_VALUE
                        : Math.round(startedSeconds * NANOS_PER_SECOND);
        return handler -> handler.nodeListed(node, machineType, zone, weight, state, startedNanos);
    }

    private Consumer<EventHandler> proxyJoined(ConfigObject event) throws ConfigException {
        ProxyId proxy = proxy(event);
        ZoneId zone = names.zone(event.text(WireNames.ZONE));
        double rate = event.number(WireNames.WEIGHT, 0);
        return handler -> handler.proxyJoined(proxy, zone, rate);
    }

    private static Consumer<EventHandler> proxyLeft(ConfigObject event) throws ConfigException {
        ProxyId proxy = proxy(event);
        return handler -> handler.proxyLeft(proxy);
    }

    private static Consumer<EventHandler> acknowledged(ConfigObject event) throws ConfigException {
        ProxyId proxy = proxy(event);
        int revision = event.integer(WireNames.REVISION);
        long latencyNanos = event.secondsAsNanos(WireNames.LATENCY, 0);
        return handler -> handler.acknowledged(proxy, revision, latencyNanos);
    }

    /** Reports the latency as NaN (not measured) if it is 0 or if no attempt was answered. */
    private Consumer<EventHandler> loadReported(ConfigObject event) throws ConfigException {
        NodeId node = node(event);
        ZoneId zone = names.zone(event.text(WireNames.ZONE));
        int attempts = event.integer(WireNames.COUNT);
        int failedAttempts = event.integer("unanswered", 0);
        double seconds = event.number(WireNames.LATENCY, 0);
        double latencySeconds = attempts > failedAttempts && seconds > 0 ? seconds : Double.NaN;
        long periodNanos = event.secondsAsNanos(WireNames.REPORT_PERIOD);
        double utilization = names.utilization(event);
        return handler ->
                handler.loadReported(
                        node,
                        zone,
                        attempts,
                        failedAttempts,
                        latencySeconds,
                        periodNanos,
                        utilization);
    }

    private Consumer<EventHandler> demandReported(ConfigObject event) throws ConfigException {
        ProxyId proxy = proxy(event);
        MethodId method = names.method(event.text("category"));
        int count = event.integer(WireNames.COUNT);
        long periodNanos = event.secondsAsNanos(WireNames.REPORT_PERIOD);
        return handler -> handler.demandReported(proxy, method, count, periodNanos);
    }

    private static Consumer<EventHandler> healthChecked(ConfigObject event) throws ConfigException {
        NodeId node = node(event);
        EventHandler.HealthCheckResult result = WireNames.healthCheckResult(event.text("verdict"));
        return handler -> handler.healthChecked(node, result);
    }

    private static ProxyId proxy(ConfigObject event) throws ConfigException {
        return new ProxyId(event.integer(WireNames.PROXY));
    }

    private static NodeId node(ConfigObject event) throws ConfigException {
        return new NodeId(event.longValue(WireNames.NODE));
    }
}
