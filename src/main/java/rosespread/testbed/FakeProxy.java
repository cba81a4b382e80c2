package rosespread.testbed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import rosespread.api.MethodId;
import rosespread.channel.Frame;

/**
 * A plain proxy: follows the tables it is sent, judges no node, reports late. Lives on the loop's
 * thread.
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
    private boolean subscribedOnce;
    private boolean up;

    /**
     * A proxy that is yet to be started.
     *
     * @param requestsPerSecond its usual RPCs, as it reports on joining
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

    /** Whether its process runs. */
    public boolean isUp() {
        return up;
    }

    /** Whether it is joined to a controller and was sent full tables since its start. */
    public boolean isSubscribed() {
        return stream.isJoined() && subscribedOnce;
    }

    /** Starts the process with tables drawn from the list; dials if there is a controller. */
    void start() {
        up = true;
        subscribedOnce = false;
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

    /** The process dies. */
    void crash() {
        up = false;
        forwarder.stop();
        stream.stop();
    }

    /** No controller can be reached; after a quiet cut neither end notices that. */
    void cut(boolean quietly) {
        stream.cut(quietly);
    }

    /** Controllers can be reached again. */
    void restore() {
        stream.restore();
    }

    /**
     * Forwards an RPC of a client.
     *
     * @param untilNanos when the client gives it up
     * @param listener takes how it ended, once
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
            long delayNanos = site.reportDelayNanos() + context.disturbances().reportDelayNanos();
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

    /** Takes up what the stream brings. */
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
            noteNodesAndSubscription(frames);
            if (context.disturbances().losesDeltas(context.random())) {
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

        private void noteNodesAndSubscription(List<Frame> frames) {
            for (Frame frame : frames) {
                if (frame instanceof Frame.Node node) {
                    String nodeName = context.directory().name(node.port());
                    tables.putAddress(
                            node.node(), NodeAddress.of(nodeName, node.host(), node.port()));
                }
                subscribedOnce |= frame instanceof Frame.Bind;
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
