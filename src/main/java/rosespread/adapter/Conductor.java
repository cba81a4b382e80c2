package rosespread.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import rosespread.Brain;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.Observer;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.launch.Fields;
import rosespread.launch.LaunchException;
import rosespread.launch.Names;

/** One conductor of the process: turns its events into calls on its own decision module. */
final class Conductor {
    private final int id;
    private final Brain brain;
    private final Names names;
    private final List<Consumer<Observer>> calls = new ArrayList<>();

    Conductor(int id, Fields launch) throws LaunchException {
        this.id = id;
        Fields info = launch.object("info");
        this.names = new Names(info);
        this.brain = new Brain(names.settings(info), new SplittableRandom(launch.whole("nonce64")));
    }

    /** Decodes one event; one of an unknown name is passed over. */
    void take(Fields event) throws LaunchException {
        switch (event.text("msg")) {
            case "Topology" -> takeList(event);
            case "Attached" -> {
                ProxyId proxy = proxy(event);
                ZoneId zone = names.zone(event.text("zone"));
                double rate = event.number("w", 0);
                calls.add(observer -> observer.proxyJoined(proxy, zone, rate));
            }
            case "Unsubscribed" -> {
                ProxyId proxy = proxy(event);
                calls.add(observer -> observer.proxyLeft(proxy));
            }
            case "Installed" -> {
                ProxyId proxy = proxy(event);
                int mark = event.integer("rev");
                long took = event.nanos("costTime", 0);
                calls.add(observer -> observer.installed(proxy, mark, took));
            }
            case "Digest" -> {
                NodeId node = node(event);
                ZoneId zone = names.zone(event.text("zone"));
                int tries = event.integer("count");
                int unanswered = event.integer("unanswered", 0);
                double seconds = event.number("costTime", 0);
                double latency = tries > unanswered && seconds > 0 ? seconds : Double.NaN;
                long covers = event.nanos("covers");
                double utilization = names.utilization(event);
                calls.add(
                        observer ->
                                observer.sums(
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
                long covers = event.nanos("covers");
                calls.add(observer -> observer.offered(proxy, method, count, covers));
            }
            case "PingResult" -> {
                NodeId node = node(event);
                Observer.Verdict verdict = Words.verdict(event.text("verdict"));
                calls.add(observer -> observer.probed(node, verdict));
            }
            case "Wakeup" -> calls.add(Observer::woke);
            default -> {}
        }
    }

    private void takeList(Fields event) throws LaunchException {
        Observer.ListKind kind = Words.listKind(event.text("kind"));
        calls.add(observer -> observer.listBegins(kind));
        for (Fields entry : event.objects("elements")) {
            NodeId node = node(entry);
            Observer.NodeState state = Words.state(entry.text("lifecycle"));
            var machine = names.kind(entry.text("kind", ""));
            ZoneId zone = names.zone(entry.text("zone", ""));
            double weight = entry.number("w", 1);
            double up = entry.number("cameUp", 0);
            long started = up == 0 ? Long.MIN_VALUE : Math.round(up * 1e9);
            calls.add(observer -> observer.node(node, machine, zone, weight, state, started));
        }
        calls.add(Observer::listEnds);
    }

    /**
     * Plays the round; what the module throws goes out as the wire's fault and ends the day there.
     */
    void round(long now, JsonGenerator reply) throws IOException {
        List<Consumer<Observer>> round = List.copyOf(calls);
        calls.clear();
        try {
            brain.round(
                    now,
                    observer -> round.forEach(call -> call.accept(observer)),
                    new Steps(id, reply));
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            Steps.fault(id, reply, e + (at.length > 0 ? " at " + at[0] : ""));
        }
    }

    private static ProxyId proxy(Fields event) throws LaunchException {
        return new ProxyId(event.integer("clientLb"));
    }

    private static NodeId node(Fields event) throws LaunchException {
        return new NodeId(event.whole("node"));
    }
}
