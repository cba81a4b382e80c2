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
 * Facts by which table changes are validated: the state of nodes, how far they have warmed up,
 * whether a table's methods may use them, and whether large changes are currently justified.
 *
 * <p>Owned by the event-loop thread.
 */
final class NodeFacts {
    /**
     * Time for which a change of the node list, a high failure ratio or a policy restart justifies
     * large changes.
     */
    private static final long LARGE_CHANGE_CAUSE_NANOS = 10_000_000_000L;

    private final NodeDirectory directory;
    private final NodeStartTimes startTimes;
    private final FleetNames names;
    private final EventClock clock;
    private FleetSettings settings;
    private long version;
    private long nextWarmUpEndNanos = Long.MAX_VALUE;
    private long lastLargeChangeCauseNanos = Long.MIN_VALUE / 2;

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

    /**
     * Sets warm-up and methods from the settings; {@link #invalidate} must be called afterwards.
     */
    void applySettings(FleetSettings next) {
        settings = next;
    }

    /** Records that an event which justifies large changes of tables happened now. */
    void recordLargeChangeCause() {
        lastLargeChangeCauseNanos = clock.nowNanos();
    }

    /** Drops start times of nodes that are no longer known, after nodes were added or removed. */
    void retainKnownNodes() {
        startTimes.retain(directory.known().keySet());
        invalidate();
    }

    /**
     * Increments the version, after any change of facts other than the gradual warm-up of nodes,
     * and computes when the next node will be warm.
     */
    void invalidate() {
        version++;
        nextWarmUpEndNanos = Long.MAX_VALUE;
        for (ListedNode node : directory.known().values()) {
            long startedNanos = startTimes.startedNanos(node);
            long warmUpEndNanos = startedNanos + settings.warmUp().durationNanos();
            if (startedNanos != NodeStartTimes.UNKNOWN_START && warmUpEndNanos > clock.nowNanos()) {
                nextWarmUpEndNanos = Math.min(nextWarmUpEndNanos, warmUpEndNanos);
            }
        }
    }

    /** Returns a number that increases as facts change, also when a node becomes warm. */
    long version() {
        if (clock.nowNanos() >= nextWarmUpEndNanos) {
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
     * Returns the facts for the validation of one table.
     *
     * @param methods the table's methods, empty if they are not known
     * @param zones the zones of the table's nodes
     * @param deliverableEntries number of entries that the channel can deliver to each proxy of the
     *     table within the drain timeout
     */
    TableChangeValidator.ValidationContext context(
            Set<MethodId> methods, Set<ZoneId> zones, double deliverableEntries) {
        Map<NodeId, TableChangeValidator.NodeFact> facts =
                new NodeFactsView(directory.known(), node -> fact(node, methods, zones));
        return new TableChangeValidator.ValidationContext(
                facts,
                version(),
                clock.nowNanos() - lastLargeChangeCauseNanos < LARGE_CHANGE_CAUSE_NANOS,
                deliverableEntries);
    }

    private TableChangeValidator.NodeFact fact(
            ListedNode node, Set<MethodId> methods, Set<ZoneId> zones) {
        ListedNode listed = directory.listed(node.id());
        return new TableChangeValidator.NodeFact(
                listed == null ? EventHandler.NodeState.GONE : listed.state(),
                warmUpRatio(node),
                isUsable(node, methods, zones));
    }

    private double warmUpRatio(ListedNode node) {
        long startedNanos = startTimes.startedNanos(node);
        long now = clock.nowNanos();
        FleetSettings.WarmUp warmUp = settings.warmUp();
        return startedNanos == NodeStartTimes.UNKNOWN_START
                        || now - startedNanos >= warmUp.durationNanos()
                ? 1
                : warmUp.coldCapacityRatio()
                        + (1 - warmUp.coldCapacityRatio())
                                * Math.max(0, now - startedNanos)
                                / warmUp.durationNanos();
    }

    /** Whether any of the methods may use the node; true if the table's methods are not known. */
    private boolean isUsable(ListedNode node, Set<MethodId> methods, Set<ZoneId> zones) {
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
