package rosespread.testbed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import rosespread.api.MethodId;
import rosespread.channel.Frame;

/**
 * A simple proxy: uses the tables that controllers send, does not assess nodes itself, and sends
 * load reports with a delay. Confined to the loop's thread.
 */
public final class FakeProxy {
    private final String name;
    private final String zone;
    private final ProxyContext context;
    private final TestLoop loop;
    private final SiteDefinition site;
    private final TrafficRecorder recorder;
    private final ControllerStream stream;
    private final LoadReporter reporter = new LoadReporter();
    private final RpcForwarder forwarder;
    private final Map<MethodId, Boolean> availability = new HashMap<>();
    private ProxyTables tables;
    private boolean receivedFullTable;
    private boolean up;

    /**
     * Creates a proxy that is not started yet.
     *
     * @param requestsPerSecond its usual RPCs per second, which it reports on joining
     */
    FakeProxy(String name, String zone, double requestsPerSecond, ProxyContext context) {
        this.name = name;
        this.zone = zone;
        this.context = context;
        this.loop = context.loop();
        this.site = context.site();
        this.recorder = context.recorder();
        this.stream =
                new ControllerStream(name, zone, requestsPerSecond, new StreamOwner(), context);
        this.forwarder = new RpcForwarder(name, context, reporter);
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    /** Returns whether the proxy's process runs. */
    public boolean isUp() {
        return up;
    }

    /**
     * Returns whether the proxy is joined to a controller and was sent full tables since its start.
     */
    public boolean isSubscribed() {
        return stream.isJoined() && receivedFullTable;
    }

    /**
     * Starts the process with nodes drawn from the node list; connects if there is a controller.
     */
    void start() {
        up = true;
        receivedFullTable = false;
        tables = new ProxyTables(context.random());
        reporter.reset(loop.now());
        forwarder.start(tables);
        for (SiteDefinition.Method method : site.methods()) {
            tables.putInitial(
                    context.methodId(method),
                    context.directory().drawInitial(zone, method, context.random()));
        }
        availability.clear();
        recordAvailability();
        if (context.connector().hasControllers()) {
            stream.start();
            long firstNanos = (long) (context.random().nextDouble() * site.reportPeriodNanos());
            loop.after(firstNanos, this::report);
        }
    }

    /** Kills the process. */
    void crash() {
        up = false;
        forwarder.stop();
        stream.stop();
    }

    /** Cuts the proxy off from all controllers; with a silent cut, neither end notices. */
    void cut(boolean silently) {
        stream.cut(silently);
    }

    /** Ends a cut; controllers can be reached again. */
    void restore() {
        stream.restore();
    }

    /**
     * Forwards an RPC of a client.
     *
     * @param untilNanos time at which the client stops waiting
     * @param listener called once with the result
     */
    void forward(OpenLoopClients.Arrival rpc, long untilNanos, Consumer<RpcResult> listener) {
        forwarder.forward(rpc, untilNanos, listener);
    }

    private void report() {
        if (!up) {
            return;
        }
        loop.after(site.reportPeriodNanos(), this::report);
        LoadReporter.LoadReport report = reporter.report(loop.now());
        if (stream.isJoined()) {
            long delayNanos = site.reportDelayNanos() + context.faults().reportDelayNanos();
            stream.sendLater(delayNanos, List.of(report.loads(), report.demand()));
        }
    }

    private void recordAvailability() {
        for (SiteDefinition.Method method : site.methods()) {
            MethodId id = context.methodId(method);
            boolean available = tables.isAvailable(id);
            if (!Boolean.valueOf(available).equals(availability.put(id, available))) {
                recorder.availabilityChanged(loop.now(), name, method.name(), available);
            }
        }
    }

    /** Applies the messages of the stream. */
    private final class StreamOwner implements ControllerStream.Owner {
        @Override
        public void streamOpened() {
            tables.streamStarted();
        }

        @Override
        public List<Frame.Holding> heldVersions() {
            return tables.highestVersions();
        }

        @Override
        public void apply(String controller, Frame.Mark mark, List<Frame> frames) {
            storeAddressesAndSubscription(frames);
            if (context.faults().losesDeltas(context.random())) {
                frames.removeIf(frame -> frame instanceof Frame.Lines);
            }
            ProxyTables.Applied applied = tables.apply(frames);
            forwarder.stall(applied.entries() * site.proxies().stallPerEntryNanos());
            recordAvailability();
            long now = loop.now();
            recorder.messageApplied(now, name, controller, mark);
            recordTables(now, controller, frames);
            stream.send(new Frame.Installed(mark.number()));
            applied.missed().forEach(stream::send);
        }

        private void storeAddressesAndSubscription(List<Frame> frames) {
            for (Frame frame : frames) {
                if (frame instanceof Frame.Node node) {
                    String nodeName = context.directory().name(node.port());
                    tables.putAddress(
                            node.node(), NodeAddress.of(nodeName, node.host(), node.port()));
                }
                receivedFullTable |= frame instanceof Frame.Bind;
            }
        }

        private void recordTables(long now, String controller, List<Frame> frames) {
            for (Frame frame : frames) {
                if (frame instanceof Frame.Bind bind) {
                    recorder.tableChanged(now, name, controller, tables.snapshot(bind.table()));
                } else if (frame instanceof Frame.Lines delta && tables.holds(delta.table())) {
                    recorder.tableChanged(now, name, controller, tables.snapshot(delta.table()));
                }
            }
        }
    }
}
