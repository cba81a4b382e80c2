package rosespread.policy;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/**
 * Counts all actions of a routing policy, adds them to a digest with every argument and the bits of
 * every number, and forwards them to the simulated fleet. Reported events are not decisions and are
 * left out, so that their wording may change.
 */
final class RecordingActions implements PolicyActions {
    /**
     * Kinds of actions that are counted. An ejection cuts a weight to less than a fifth; a recovery
     * raises it to more than five times.
     */
    enum Count {
        FULL_TABLES,
        ENTRIES,
        REMOVALS,
        EJECTIONS,
        RECOVERIES,
        EXCLUSIONS,
        READMISSIONS,
        LIMITS,
        LIMITS_LIFTED,
        TOKENS,
        HEALTH_CHECKS,
        LIST_REQUESTS,
        TABLES
    }

    private static final double EJECTED_WEIGHT_RATIO = 0.2;

    private final HashStream64 digest = Hashing.xxh3_64().hashStream();
    private final Map<Count, Integer> counts = new EnumMap<>(Count.class);
    private final Map<Integer, Map<Long, Double>> weights = new HashMap<>();
    private ActionEffects effects;

    void forwardTo(ActionEffects fleet) {
        effects = fleet;
    }

    /** Starts a round; its time is digested, so that equal actions of other rounds differ. */
    void beginRound(long now) {
        digest.putByte((byte) 0).putLong(now);
    }

    long digest() {
        return digest.getAsLong();
    }

    int count(Count kind) {
        return kind == Count.TABLES ? weights.size() : counts.getOrDefault(kind, 0);
    }

    private void increment(Count kind) {
        counts.merge(kind, 1, Integer::sum);
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        digest.putByte((byte) 1)
                .putInt(table.value())
                .putLong(node.value())
                .putLong(Double.doubleToRawLongBits(weight));
        Double old =
                weights.computeIfAbsent(table.value(), t -> new HashMap<>())
                        .put(node.value(), weight);
        increment(weight > 0 ? Count.ENTRIES : Count.REMOVALS);
        if (old != null && weight > 0 && weight < EJECTED_WEIGHT_RATIO * old) {
            increment(Count.EJECTIONS);
        } else if (old != null && old > 0 && old < EJECTED_WEIGHT_RATIO * weight) {
            increment(Count.RECOVERIES);
        }
        effects.applyWeight(table.value(), node.value(), weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        digest.putByte((byte) 2).putInt(proxy.value()).putInt(table.value());
        List<Integer> all = new ArrayList<>();
        methods.forEach(method -> all.add(method.value()));
        digest.putInt(all.size());
        all.forEach(digest::putInt);
        increment(Count.FULL_TABLES);
        effects.sendFullTable(
                proxy.value(), all.stream().mapToInt(m -> m).toArray(), table.value());
    }

    @Override
    public void setExcluded(NodeId node, boolean excluded) {
        digest.putByte((byte) 3).putLong(node.value()).putBoolean(excluded);
        increment(excluded ? Count.EXCLUSIONS : Count.READMISSIONS);
        effects.applyExclusion(node.value(), excluded);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double limit) {
        digest.putByte((byte) 4)
                .putInt(table.value())
                .putInt(method.value())
                .putLong(Double.doubleToRawLongBits(limit));
        increment(Double.isInfinite(limit) ? Count.LIMITS_LIFTED : Count.LIMITS);
        effects.applyAdmissionLimit(table.value(), method.value(), limit);
    }

    @Override
    public void requestAcknowledgement(int token) {
        digest.putByte((byte) 5).putInt(token);
        increment(Count.TOKENS);
        effects.requestAcknowledgement(token);
    }

    @Override
    public void checkHealth(NodeId node) {
        digest.putByte((byte) 6).putLong(node.value());
        increment(Count.HEALTH_CHECKS);
        effects.startHealthCheck(node.value());
    }

    @Override
    public void watchNodes() {
        digest.putByte((byte) 7);
        increment(Count.LIST_REQUESTS);
        effects.watchNodes();
    }

    @Override
    public void startTimer(long nanos) {
        digest.putByte((byte) 8).putLong(nanos);
        effects.startTimer(nanos);
    }

    @Override
    public void report(PolicyEvent event) {}
}
