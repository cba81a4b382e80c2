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
 * A table with its committed versions, the weights that the policy desires, the methods and zones
 * that it serves, and how it is pinned. Versions and pins are changed through {@link
 * TableRegistry}, which appends them to the log, as they must outlive the process.
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
    private long reviewedFactsVersion = -1;

    ManagedTable(TableId id, VersionHistory history) {
        this.id = id;
        this.history = history;
        this.sentVersion = history.current().number();
    }

    /** Restores a table from its persisted snapshot. */
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

    /** Returns the committed version. */
    TableVersion current() {
        return history.current();
    }

    /**
     * Sets the number above which the table's version numbers start; only for a table without a
     * committed version.
     */
    void startNumberingAfter(long number) {
        VersionHistory renumbered = new VersionHistory(id, number);
        renumbered.admissionLimits().putAll(history.admissionLimits());
        history = renumbered;
        sentVersion = number;
    }

    /** Returns a live view of the weights that the policy desires. */
    Map<NodeId, Double> desired() {
        return Collections.unmodifiableMap(desired);
    }

    /**
     * Sets a weight that the policy desires; 0 removes the entry. From the first weight that a new
     * policy sets, its desired weights replace all committed entries, not only those for the nodes
     * that it names.
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

    /** Whether the current policy has not set any weight of the table yet. */
    boolean isAwaitingPolicy() {
        return awaitingPolicy;
    }

    /** Keeps the committed entries until a new policy, which starts now, first sets a weight. */
    void awaitPolicy() {
        desired.clear();
        methods.clear();
        zones.clear();
        history.admissionLimits().clear();
        acceptedTotals.invalidate();
        refusals = List.of();
        pin = pin.persisted();
        awaitingPolicy = true;
    }

    void addMethods(Set<MethodId> added) {
        if (methods.addAll(added)) {
            acceptedTotals.invalidate();
        }
    }

    Set<MethodId> methods() {
        return methods;
    }

    void addZone(ZoneId zone) {
        if (zones.add(zone)) {
            acceptedTotals.invalidate();
        }
    }

    /** Sets the zones of a restored table, for which the policy has set no weight yet. */
    void restoreZones(Set<ZoneId> zonesOfEntries) {
        zones.addAll(zonesOfEntries);
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

    /** Returns the target version of the rollback in progress; 0 if none is in progress. */
    long rollbackTarget() {
        return rollbackTarget;
    }

    /** Returns a live view of the weight changes that a pinned table still has to send. */
    NavigableMap<NodeId, Double> pending() {
        return Collections.unmodifiableNavigableMap(pending);
    }

    /** Returns the committed weights as they will be once all pending changes are sent. */
    Map<NodeId, Double> weightsAfterPending() {
        Map<NodeId, Double> weights = new TreeMap<>(current().entries());
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
     * @param target the version that the table is rolled back to, 0 for none
     * @param changes the weight changes still to be sent to reach that version
     * @return whether persisted state changed
     */
    boolean setPin(PinState next, long target, Map<NodeId, Double> changes) {
        boolean persistedStateChanged =
                target > 0 || next.persisted() != pin.persisted() || target != rollbackTarget;
        pending.clear();
        pending.putAll(changes);
        pin = next;
        rollbackTarget = target;
        if (target > 0) {
            history.retain(target);
        }
        return persistedStateChanged;
    }

    /**
     * Drops the pin, pending changes and all versions but the current one, as they no longer have
     * the same meaning in a new table layout.
     */
    void layoutChanged() {
        history.dropAllButCurrent();
        pin = PinState.NONE;
        rollbackTarget = 0;
        pending.clear();
    }

    /** Returns the version number up to which deltas have been sent to subscribed proxies. */
    long sentVersion() {
        return sentVersion;
    }

    void markSent(long version) {
        sentVersion = version;
    }

    /** Returns the totals that the validator keeps over the committed weights. */
    AcceptedTotals acceptedTotals() {
        return acceptedTotals;
    }

    /** Returns why the last validation refused the desired weights; empty if they passed. */
    List<TableChangeValidator.Refusal> refusals() {
        return refusals;
    }

    /**
     * Records the result of validating the desired weights. After a refusal, the table keeps
     * accepted weights until the desired weights pass.
     */
    void recordValidation(List<TableChangeValidator.Refusal> result) {
        refusals = result;
        pin = result.isEmpty() ? PinState.NONE : PinState.REFUSED;
    }

    /**
     * Records that the channel lacked capacity for some of the table's changes. The remaining
     * changes are committed in later rounds, as far as the channel has capacity; only then are the
     * policy's changes committed as ordered again.
     */
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
     * Whether a table that does not follow the policy has to be reviewed: while a rollback is in
     * progress or changes are still to be sent, after {@link NodeFacts} changed, and when the
     * interval has passed since the last review.
     */
    boolean isReviewDue(long nowNanos, long intervalNanos, long factsVersion) {
        return rollbackTarget > 0
                || !pending.isEmpty()
                || reviewedFactsVersion != factsVersion
                || nowNanos - reviewedAtNanos >= intervalNanos;
    }

    void markReviewed(long nowNanos, long factsVersion) {
        reviewedAtNanos = nowNanos;
        reviewedFactsVersion = factsVersion;
    }
}
