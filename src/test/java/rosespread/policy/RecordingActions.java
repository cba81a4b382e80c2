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
 * Digests and counts all actions of a routing policy, with every argument and the bits of every
 * number, and passes them on to the simulated fleet. The wording of log lines is no decision and is
 * left out.
 */
final class RecordingActions implements PolicyActions {
    /**
     * What a history can reach; an ejection is a weight cut to less than a fifth, a recovery its
     * reverse.
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

    private static final double EJECTED = 0.2;

    private final HashStream64 digest = Hashing.xxh3_64().hashStream();
    private final Map<Count, Integer> counts = new EnumMap<>(Count.class);
    private final Map<Integer, Map<Long, Double>> weights = new HashMap<>();
    private ActionEffects effects;

    void passTo(ActionEffects fleet) {
        effects = fleet;
    }

    /** Opens a round, so that the same actions in other rounds make another digest. */
    void beginRound(long now) {
        digest.putByte((byte) 0).putLong(now);
    }

    long digest() {
        return digest.getAsLong();
    }

    int count(Count what) {
        return what == Count.TABLES ? weights.size() : counts.getOrDefault(what, 0);
    }

    private void add(Count what) {
        counts.merge(what, 1, Integer::sum);
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
        add(weight > 0 ? Count.ENTRIES : Count.REMOVALS);
        if (old != null && weight > 0 && weight < EJECTED * old) {
            add(Count.EJECTIONS);
        } else if (old != null && old > 0 && old < EJECTED * weight) {
            add(Count.RECOVERIES);
        }
        effects.weightEntry(table.value(), node.value(), weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        digest.putByte((byte) 2).putInt(proxy.value()).putInt(table.value());
        List<Integer> all = new ArrayList<>();
        methods.forEach(method -> all.add(method.value()));
        digest.putInt(all.size());
        all.forEach(digest::putInt);
        add(Count.FULL_TABLES);
        effects.fullTable(proxy.value(), all.stream().mapToInt(m -> m).toArray(), table.value());
    }

    @Override
    public void setExcluded(NodeId node, boolean excluded) {
        digest.putByte((byte) 3).putLong(node.value()).putBoolean(excluded);
        add(excluded ? Count.EXCLUSIONS : Count.READMISSIONS);
        effects.exclusion(node.value(), excluded);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double limit) {
        digest.putByte((byte) 4)
                .putInt(table.value())
                .putInt(method.value())
                .putLong(Double.doubleToRawLongBits(limit));
        add(Double.isInfinite(limit) ? Count.LIMITS_LIFTED : Count.LIMITS);
        effects.admissionLimit(table.value(), method.value(), limit);
    }

    @Override
    public void requestAcknowledgement(int token) {
        digest.putByte((byte) 5).putInt(token);
        add(Count.TOKENS);
        effects.acknowledgeWith(token);
    }

    @Override
    public void checkHealth(NodeId node) {
        digest.putByte((byte) 6).putLong(node.value());
        add(Count.HEALTH_CHECKS);
        effects.healthCheck(node.value());
    }

    @Override
    public void watchNodes() {
        digest.putByte((byte) 7);
        add(Count.LIST_REQUESTS);
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
