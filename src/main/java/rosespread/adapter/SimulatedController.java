package rosespread.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;
import rosespread.config.NameRegistry;
import rosespread.config.PolicySettingsReader;
import rosespread.policy.RoutingPolicy;

/** One conductor of the process: turns its events into calls on its own decision module. */
final class SimulatedController {
    private final int id;
    private final RoutingPolicy policy;
    private final NameRegistry names;
    private final List<Consumer<EventHandler>> pendingEvents = new ArrayList<>();

    SimulatedController(int id, ConfigObject launch) throws ConfigException {
        this.id = id;
        ConfigObject info = launch.object("info");
        this.names = new NameRegistry(info);
        this.policy =
                new RoutingPolicy(
                        new PolicySettingsReader(names).read(info),
                        new SplittableRandom(launch.longValue("nonce64")));
    }

    /** Decodes one event; one of an unknown name is passed over. */
    void handleEvent(ConfigObject event) throws ConfigException {
        switch (event.text("msg")) {
            case "Topology" -> handleNodeList(event);
            case "Attached" -> {
                ProxyId proxy = proxy(event);
                ZoneId zone = names.zone(event.text("zone"));
                double rate = event.number("w", 0);
                pendingEvents.add(observer -> observer.proxyJoined(proxy, zone, rate));
            }
            case "Unsubscribed" -> {
                ProxyId proxy = proxy(event);
                pendingEvents.add(observer -> observer.proxyLeft(proxy));
            }
            case "Installed" -> {
                ProxyId proxy = proxy(event);
                int mark = event.integer("rev");
                long took = event.secondsAsNanos("costTime", 0);
                pendingEvents.add(observer -> observer.acknowledged(proxy, mark, took));
            }
            case "Digest" -> {
                NodeId node = node(event);
                ZoneId zone = names.zone(event.text("zone"));
                int tries = event.integer("count");
                int unanswered = event.integer("unanswered", 0);
                double seconds = event.number("costTime", 0);
                double latency = tries > unanswered && seconds > 0 ? seconds : Double.NaN;
                long covers = event.secondsAsNanos("covers");
                double utilization = names.utilization(event);
                pendingEvents.add(
                        observer ->
                                observer.loadReported(
                                        node,
                                        zone,
                                        tries,
                                        unanswered,
                                        latency,
                                        covers,
                                        utilization));
            }
            case "OfferedLoad" -> {
                ProxyId proxy = proxy(event);
                MethodId method = names.method(event.text("category"));
                int count = event.integer("count");
                long covers = event.secondsAsNanos("covers");
                pendingEvents.add(
                        observer -> observer.demandReported(proxy, method, count, covers));
            }
            case "PingResult" -> {
                NodeId node = node(event);
                EventHandler.HealthCheckResult verdict =
                        WireNames.healthCheckResult(event.text("verdict"));
                pendingEvents.add(observer -> observer.healthChecked(node, verdict));
            }
            case "Wakeup" -> pendingEvents.add(EventHandler::timerFired);
            default -> {}
        }
    }

    private void handleNodeList(ConfigObject event) throws ConfigException {
        EventHandler.NodeListKind kind = WireNames.nodeListKind(event.text("kind"));
        pendingEvents.add(observer -> observer.listStarted(kind));
        for (ConfigObject entry : event.objects("elements")) {
            NodeId node = node(entry);
            EventHandler.NodeState state = WireNames.nodeState(entry.text("lifecycle"));
            var machine = names.machineType(entry.text("kind", ""));
            ZoneId zone = names.zone(entry.text("zone", ""));
            double weight = entry.number("w", 1);
            double up = entry.number("cameUp", 0);
            long started = up == 0 ? Long.MIN_VALUE : Math.round(up * 1e9);
            pendingEvents.add(
                    observer -> observer.nodeListed(node, machine, zone, weight, state, started));
        }
        pendingEvents.add(EventHandler::listCompleted);
    }

    /**
     * Plays the round; what the module throws goes out as the wire's fault and ends the day there.
     */
    void runRound(long now, JsonGenerator reply) throws IOException {
        List<Consumer<EventHandler>> round = List.copyOf(pendingEvents);
        pendingEvents.clear();
        try {
            policy.round(
                    now,
                    observer -> round.forEach(call -> call.accept(observer)),
                    new SimulatorActionWriter(id, reply));
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            SimulatorActionWriter.writeFault(id, reply, e + (at.length > 0 ? " at " + at[0] : ""));
        }
    }

    private static ProxyId proxy(ConfigObject event) throws ConfigException {
        return new ProxyId(event.integer("clientLb"));
    }

    private static NodeId node(ConfigObject event) throws ConfigException {
        return new NodeId(event.longValue("node"));
    }
}
