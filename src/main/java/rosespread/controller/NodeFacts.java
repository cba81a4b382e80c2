package rosespread.controller;

import java.util.Map;
import java.util.Set;
import rosespread.api.EventHandler;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ZoneId;
import rosespread.discovery.ListedNode;
import rosespread.settings.FleetSettings;
import rosespread.validation.TableChangeValidator;

/**
 * What table changes are validated by: the state of nodes, how far they have warmed up, whether a
 * table's methods may use them, and whether something happened that justifies large changes.
 *
 * <p>Owned by the event-loop thread.
 */
final class NodeFacts {
    /** A change of the list, or a high failure ratio, justifies large changes for so long. */
    private static final long LARGE_CHANGE_CAUSE_NANOS = 10_000_000_000L;

    private final NodeDirectory directory;
    private final NodeStartTimes startTimes;
    private final FleetNames names;
    private final EventClock clock;
    private FleetSettings settings;
    private long version;
    private long nextWarmNanos = Long.MAX_VALUE;
    private long lastCauseNanos = Long.MIN_VALUE / 2;

    NodeFacts(
            NodeDirectory directory,
            NodeStartTimes startTimes,
            FleetNames names,
            EventClock clock) {
        this.directory = directory;
        this.startTimes = startTimes;
        this.names = names;
        this.clock = clock;
    }

    /** Sets what nodes are judged by; {@link #invalidate} has to follow. */
    void applySettings(FleetSettings next) {
        settings = next;
    }

    /** Something happened that justifies large changes of tables. */
    void recordLargeChangeCause() {
        lastCauseNanos = clock.nowNanos();
    }

    /** Nodes came or went: forgets those that are no longer known. */
    void retainKnownNodes() {
        startTimes.retain(directory.known().keySet());
        invalidate();
    }

    /** Raises the version, as facts changed otherwise than that a node has warmed further. */
    void invalidate() {
        version++;
        nextWarmNanos = Long.MAX_VALUE;
        for (ListedNode node : directory.known().values()) {
            long started = startTimes.startedNanos(node);
            long warm = started + settings.warmUp().durationNanos();
            if (started != NodeStartTimes.LONG_AGO && warm > clock.nowNanos()) {
                nextWarmNanos = Math.min(nextWarmNanos, warm);
            }
        }
    }

    /** Returns a number that rises as facts change, also as the next node becomes warm. */
    long version() {
        if (clock.nowNanos() >= nextWarmNanos) {
            invalidate();
        }
        return version;
    }

    boolean isListKnown() {
        return directory.isListReceived();
    }

    ZoneId zone(ListedNode node) {
        return names.zone(node.zone());
    }

    /**
     * Returns the facts as a table needs them.
     *
     * @param methods the table's methods, empty if they are not known
     * @param zones the zones of its nodes
     * @param entriesCarried entries that the channel can carry to each of its proxies in time
     */
    TableChangeValidator.ValidationContext context(
            Set<MethodId> methods, Set<ZoneId> zones, double entriesCarried) {
        Map<NodeId, TableChangeValidator.NodeFact> facts =
                new NodeFactsView(directory.known(), node -> fact(node, methods, zones));
        return new TableChangeValidator.ValidationContext(
                facts,
                version(),
                clock.nowNanos() - lastCauseNanos < LARGE_CHANGE_CAUSE_NANOS,
                entriesCarried);
    }

    private TableChangeValidator.NodeFact fact(
            ListedNode node, Set<MethodId> methods, Set<ZoneId> zones) {
        ListedNode listed = directory.listed(node.id());
        return new TableChangeValidator.NodeFact(
                listed == null ? EventHandler.NodeState.GONE : listed.state(),
                warmUpRatio(node),
                isOpen(node, methods, zones));
    }

    private double warmUpRatio(ListedNode node) {
        long started = startTimes.startedNanos(node);
        long now = clock.nowNanos();
        FleetSettings.WarmUp warmUp = settings.warmUp();
        return started == NodeStartTimes.LONG_AGO || now - started >= warmUp.durationNanos()
                ? 1
                : warmUp.coldCapacityRatio()
                        + (1 - warmUp.coldCapacityRatio())
                                * Math.max(0, now - started)
                                / warmUp.durationNanos();
    }

    /** Whether any of the methods may go to the node; an unknown table may go everywhere. */
    private boolean isOpen(ListedNode node, Set<MethodId> methods, Set<ZoneId> zones) {
        ZoneId zone = zone(node);
        return methods.isEmpty()
                || methods.stream()
                        .map(method -> settings.methods().get(method.value()))
                        .anyMatch(method -> allows(method, node, zone, zones));
    }

    private static boolean allows(
            FleetSettings.Method method, ListedNode node, ZoneId zone, Set<ZoneId> zones) {
        return (method.allowedMachineTypes().isEmpty()
                        || method.allowedMachineTypes().contains(node.machineType()))
                && (method.allowedZones().isEmpty() || method.allowedZones().contains(node.zone()))
                && (!method.localZoneOnly() || zones.contains(zone));
    }
}
