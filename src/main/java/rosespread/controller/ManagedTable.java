package rosespread.controller;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;
import rosespread.validation.AcceptedTotals;
import rosespread.validation.TableChangeValidator;

/**
 * A table beside its committed versions: the weights that the policy desires, the methods and zones
 * it serves, and how it is pinned. What must outlive the process is changed through {@link
 * TableRegistry}, which appends it to the log.
 *
 * <p>Owned by the event-loop thread.
 */
final class ManagedTable {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final TableId id;
    private final TreeMap<NodeId, Double> desired = new TreeMap<>();
    private final Set<MethodId> methods = new TreeSet<>();
    private final Set<ZoneId> zones = new TreeSet<>();
    private final TreeMap<NodeId, Double> pending = new TreeMap<>();
    private final TreeMap<TableChangeValidator.Reason, Long> refusalCounts = new TreeMap<>();
    private final AcceptedTotals acceptedTotals = new AcceptedTotals();
    private VersionHistory history;
    private PinState pin = PinState.NONE;
    private long rollbackTarget;
    private boolean awaitingPolicy;
    private long sentVersion;
    private List<TableChangeValidator.Refusal> refusals = List.of();
    private long releaseStepAtNanos = NEVER;
    private long reviewedAtNanos = NEVER;
    private long reviewedFacts = -1;

    ManagedTable(TableId id, VersionHistory history) {
        this.id = id;
        this.history = history;
        this.sentVersion = history.current().number();
    }

    /** A table as it was persisted. */
    static ManagedTable restored(TableSnapshot snapshot) {
        ManagedTable table =
                new ManagedTable(snapshot.current().table(), new VersionHistory(snapshot));
        table.pin = snapshot.pinState();
        table.rollbackTarget = snapshot.rollbackTarget();
        table.pending.putAll(snapshot.pending());
        return table;
    }

    TableId id() {
        return id;
    }

    VersionHistory history() {
        return history;
    }

    /** Returns the version that is committed. */
    TableVersion current() {
        return history.current();
    }

    /** Nothing was ever committed: numbers begin after this one. */
    void startNumberingAfter(long number) {
        VersionHistory fresh = new VersionHistory(id, number);
        fresh.admissionLimits().putAll(history.admissionLimits());
        history = fresh;
        sentVersion = number;
    }

    /** Returns a live view of the weights that the policy desires. */
    Map<NodeId, Double> desired() {
        return Collections.unmodifiableMap(desired);
    }

    /**
     * The policy sets a weight; 0 removes the entry. Its first one of a table takes the place of
     * all entries that are committed, not only of those it names.
     */
    void setDesired(NodeId node, double weight) {
        if (awaitingPolicy) {
            awaitingPolicy = false;
            pin = pin == PinState.NONE ? PinState.REFUSED : pin;
        }
        if (weight == 0) {
            desired.remove(node);
        } else {
            desired.put(node, weight);
        }
    }

    /** Whether the policy that runs now has not set any weight of the table yet. */
    boolean isAwaitingPolicy() {
        return awaitingPolicy;
    }

    /** A new policy starts: the table stays as it is until that sets a weight of it. */
    void awaitPolicy() {
        desired.clear();
        methods.clear();
        zones.clear();
        history.admissionLimits().clear();
        acceptedTotals.forget();
        refusals = List.of();
        pin = pin.lasting();
        awaitingPolicy = true;
    }

    void addMethods(Set<MethodId> added) {
        if (methods.addAll(added)) {
            acceptedTotals.forget();
        }
    }

    Set<MethodId> methods() {
        return methods;
    }

    void addZone(ZoneId zone) {
        if (zones.add(zone)) {
            acceptedTotals.forget();
        }
    }

    /** Sets the zones of a restored table, for which the policy has set no weight yet. */
    void restoreZones(Set<ZoneId> ofEntries) {
        zones.addAll(ofEntries);
    }

    Set<ZoneId> zones() {
        return zones;
    }

    PinState pin() {
        return pin;
    }

    boolean isPinned() {
        return pin == PinState.PINNED;
    }

    /** Returns the version that the table is rolled back to; 0 if that is done or there is none. */
    long rollbackTarget() {
        return rollbackTarget;
    }

    /** Returns a live view of the changes that a pinned table still has to send. */
    NavigableMap<NodeId, Double> pending() {
        return Collections.unmodifiableNavigableMap(pending);
    }

    /** Returns the committed weights as they will be once all pending changes are sent. */
    Map<NodeId, Double> weightsAfterPending() {
        Map<NodeId, Double> weights = new TreeMap<>(current().lines());
        pending.forEach(
                (node, weight) -> {
                    if (weight > 0) {
                        weights.put(node, weight);
                    } else {
                        weights.remove(node);
                    }
                });
        return weights;
    }

    void removePending(Set<NodeId> nodes) {
        pending.keySet().removeAll(nodes);
    }

    /**
     * Changes how the table is pinned.
     *
     * @return whether that changes what has to be persisted
     */
    boolean setPin(PinState next, long target, Map<NodeId, Double> changes) {
        boolean lasting = target > 0 || next.lasting() != pin.lasting() || target != rollbackTarget;
        pending.clear();
        pending.putAll(changes);
        pin = next;
        rollbackTarget = target;
        if (target > 0) {
            history.retain(target);
        }
        return lasting;
    }

    /** Tables are laid out another way: pins and older versions mean something else. */
    void layoutChanged() {
        history.dropAllButCurrent();
        pin = PinState.NONE;
        rollbackTarget = 0;
        pending.clear();
    }

    /** Returns the number that proxies which follow the table's deltas have been sent. */
    long sentVersion() {
        return sentVersion;
    }

    void markSent(long version) {
        sentVersion = version;
    }

    /** Returns what the validator remembers of the committed weights. */
    AcceptedTotals acceptedTotals() {
        return acceptedTotals;
    }

    /** Returns why the desired weights were refused last; empty if they passed. */
    List<TableChangeValidator.Refusal> refusals() {
        return refusals;
    }

    /** Takes the validator's answer: last good weights stay until what is desired passes. */
    void recordValidation(List<TableChangeValidator.Refusal> result) {
        refusals = result;
        pin = result.isEmpty() ? PinState.NONE : PinState.REFUSED;
    }

    /** What was held back is caught up with before the policy's changes go out as they come. */
    void deferCatchUp() {
        pin = PinState.REFUSED;
    }

    void countRefusal(TableChangeValidator.Reason reason) {
        refusalCounts.merge(reason, 1L, Long::sum);
    }

    Map<TableChangeValidator.Reason, Long> refusalCounts() {
        return Collections.unmodifiableMap(refusalCounts);
    }

    boolean isReleaseStepDue(long nowNanos, long intervalNanos) {
        return nowNanos - releaseStepAtNanos >= intervalNanos;
    }

    void markReleaseStep(long nowNanos) {
        releaseStepAtNanos = nowNanos;
    }

    /**
     * Whether a table that does not follow the policy has to be looked at: while it has something
     * to send, as facts change, and at an interval.
     */
    boolean isReviewDue(long nowNanos, long intervalNanos, long factsVersion) {
        return rollbackTarget > 0
                || !pending.isEmpty()
                || reviewedFacts != factsVersion
                || nowNanos - reviewedAtNanos >= intervalNanos;
    }

    void markReviewed(long nowNanos, long factsVersion) {
        reviewedAtNanos = nowNanos;
        reviewedFacts = factsVersion;
    }
}
