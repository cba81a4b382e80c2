package rosespread.validation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

/**
 * Decides which lines of a table go out: between what the module wants and what proxies were last
 * given. It does no I/O and has no clock. What fails a check never goes out; the last good lines
 * stay, less those of nodes that drain or are gone, so a check delays no drain, and a table that
 * would be left without a node gets all that can serve. docs/versions.md says how each check could
 * do harm and when it steps aside.
 */
public class TableChangeValidator {
    /** Why lines are refused. */
    public enum Reason {
        BAD_WEIGHT,
        UNKNOWN_NODE,
        LEAVING_NODE,
        NO_NODE,
        COLD_TOO_HIGH,
        MOVES_TOO_MUCH,
        TOO_MANY_LINES
    }

    /** A failed check and the lines at fault. */
    public record Refusal(Reason reason, List<NodeId> lines, String figures) {}

    /**
     * @param warmth the part of its size that it can be held to have by now, 1 once warm; @param
     *     open to the table
     */
    public record NodeFact(NodeState state, double warmth, boolean open) {
        /** Whether lines may go there. */
        public boolean eligible() {
            return state == NodeState.READY && open;
        }

        /** Whether lines to it must go. */
        public boolean leaving() {
            return state != NodeState.READY;
        }
    }

    /**
     * What is known as lines are judged.
     *
     * @param nodes all nodes that the list has told of
     * @param version changes whenever a fact may have changed otherwise than that a cold node has
     *     warmed further
     * @param causeSeen whether the list or health has lately changed so that a large move can be
     *     meant
     * @param carried lines that the channel can carry to one proxy of this table within the grace
     */
    public record ValidationContext(
            Map<NodeId, NodeFact> nodes, long factsVersion, boolean largeMoveExpected, double deliverableEntries) {}

    /**
     * @param lines what goes out now; @param refusals empty if that is what was wanted
     */
    public record ValidationResult(Map<NodeId, Double> lines, List<Refusal> refusals) {}

    /** A cold node may have this multiple of its warmth against the mean of warm nodes. */
    private static final double COLD_MOST = 4;

    /** A version may move this part of all weight at once without a cause. */
    private static final double MOVE_MOST = 0.5;

    /** So much of all weight moves at a step when a table comes back to what is wanted. */
    private static final double STEP = 0.15;

    /**
     * What is known of lines that passed as a whole, so that a change of a few is judged at its own
     * cost. It holds for one version of the facts.
     */
    public static final class AcceptedTotals {
        private boolean known;
        private long version;
        private double sum;
        private double warmSum;
        private int warm;
        private int able;
        private final TreeSet<NodeId> cold = new TreeSet<>();
        private int changes;

        /** The lines changed in another way. */
        public void forget() {
            known = false;
        }

        private void count(NodeId node, double weight, NodeFact fact, int sign) {
            sum += sign * weight;
            if (fact != null && fact.eligible() && weight > 0) {
                able += sign;
                if (fact.warmth() >= 1) {
                    warm += sign;
                    warmSum += sign * weight;
                } else if (sign > 0) {
                    cold.add(node);
                }
            }
            if (sign < 0) {
                cold.remove(node);
            }
        }

        private void count(Map<NodeId, Double> lines, ValidationContext scene) {
            sum = 0;
            warmSum = 0;
            warm = 0;
            able = 0;
            changes = 0;
            cold.clear();
            lines.forEach((node, weight) -> count(node, weight, scene.nodes().get(node), 1));
            version = scene.factsVersion();
            known = true;
        }

        private void change(
                Map<NodeId, Double> out, Map<NodeId, Double> changed, ValidationContext scene) {
            changed.forEach(
                    (node, weight) -> {
                        NodeFact fact = scene.nodes().get(node);
                        Double old = out.get(node);
                        if (old != null) {
                            count(node, old, fact, -1);
                        }
                        if (weight != 0) {
                            count(node, weight, fact, 1);
                        }
                    });
            changes++;
        }

        private AcceptedTotals after(
                Map<NodeId, Double> out, Map<NodeId, Double> changed, ValidationContext scene) {
            AcceptedTotals next = new AcceptedTotals();
            next.sum = sum;
            next.warmSum = warmSum;
            next.warm = warm;
            next.able = able;
            next.cold.addAll(cold);
            next.change(out, changed, scene);
            return next;
        }
    }

    /** Sums of weights drift a little with each change; after so many they are added up anew. */
    private static final int CHANGES_MOST = 10_000;

    /**
     * Judges a change of a few lines of a table whose other lines passed before: the same verdict
     * as for the whole, at the cost of the change. A passed change is taken into the standing.
     *
     * @param changed every line in which wanted lines differ from those that are out, and maybe
     *     others
     */
    public ValidationResult validate(
            AcceptedTotals standing,
            Map<NodeId, Double> out,
            Map<NodeId, Double> wanted,
            Map<NodeId, Double> changed,
            ValidationContext scene) {
        if (!standing.known
                || standing.version != scene.factsVersion()
                || standing.changes >= CHANGES_MOST) {
            ValidationResult verdict = validate(out, wanted, scene);
            if (verdict.refusals().isEmpty()) {
                standing.count(wanted, scene);
            } else {
                standing.forget();
            }
            return verdict;
        }
        AcceptedTotals next = standing.after(out, changed, scene);
        double warmMean = next.warm == 0 ? Double.POSITIVE_INFINITY : next.warmSum / next.warm;
        TreeSet<NodeId> looked = new TreeSet<>(next.cold);
        looked.addAll(changed.keySet());
        boolean good =
                next.able > 0
                        && looked.stream()
                                .noneMatch(
                                        node ->
                                                wanted.containsKey(node)
                                                        && fault(
                                                                        wanted.get(node),
                                                                        scene.nodes().get(node),
                                                                        warmMean)
                                                                != null);
        if (good && !out.isEmpty()) {
            good =
                    changed.entrySet().stream()
                                            .filter(
                                                    line ->
                                                            !Objects.equals(
                                                                    out.get(line.getKey()),
                                                                    line.getValue() == 0
                                                                            ? null
                                                                            : line.getValue()))
                                            .count()
                                    <= scene.deliverableEntries()
                            && (scene.largeMoveExpected()
                                    || movedShare(standing.sum, next.sum, out, changed) <= MOVE_MOST);
        }
        if (!good) {
            // The whole table is looked at for reasons and figures: a refusal is rare.
            ValidationResult verdict = validate(out, wanted, scene);
            if (!verdict.refusals().isEmpty()) {
                standing.forget();
                return verdict;
            }
        }
        standing.change(out, changed, scene);
        return new ValidationResult(wanted, List.of());
    }

    /**
     * The part of all weight that goes to other nodes; lines that stay move by what all sums
     * changed.
     */
    private static double movedShare(
            double fromSum, double toSum, Map<NodeId, Double> out, Map<NodeId, Double> changed) {
        if (!(fromSum > 0) || !(toSum > 0)) {
            return 1;
        }
        double stays = fromSum;
        double moved = 0;
        for (Map.Entry<NodeId, Double> line : changed.entrySet()) {
            double before = out.getOrDefault(line.getKey(), 0.0);
            stays -= before;
            moved += Math.abs(before / fromSum - line.getValue() / toSum);
        }
        return (moved + Math.max(0, stays) * Math.abs(1 / fromSum - 1 / toSum)) / 2;
    }

    /** Why a line may not go out; null if it may. */
    private static Reason fault(double weight, NodeFact fact, double warmMean) {
        return !Double.isFinite(weight) || weight < 0
                ? Reason.BAD_WEIGHT
                : fact == null
                        ? Reason.UNKNOWN_NODE
                        : fact.leaving()
                                ? Reason.LEAVING_NODE
                                : fact.warmth() < 1 && weight > COLD_MOST * fact.warmth() * warmMean
                                        ? Reason.COLD_TOO_HIGH
                                        : null;
    }

    /** Judges wanted lines against those that are out. */
    public ValidationResult validate(
            Map<NodeId, Double> out, Map<NodeId, Double> wanted, ValidationContext scene) {
        List<Refusal> refusals = check(out, wanted, scene);
        return new ValidationResult(refusals.isEmpty() ? wanted : retainableEntries(out, scene), refusals);
    }

    private List<Refusal> check(
            Map<NodeId, Double> out, Map<NodeId, Double> wanted, ValidationContext scene) {
        List<Refusal> refusals = new ArrayList<>();
        Map<Reason, List<NodeId>> faults = new TreeMap<>();
        double warmMean = warmMean(wanted, scene);
        wanted.forEach(
                (node, weight) -> {
                    Reason fault = fault(weight, scene.nodes().get(node), warmMean);
                    if (fault != null) {
                        faults.computeIfAbsent(fault, f -> new ArrayList<>()).add(node);
                    }
                });
        faults.forEach(
                (reason, nodes) ->
                        refusals.add(new Refusal(reason, nodes, nodes.size() + " lines")));
        boolean has =
                wanted.entrySet().stream()
                        .anyMatch(
                                line ->
                                        line.getValue() > 0
                                                && scene.nodes().containsKey(line.getKey())
                                                && scene.nodes().get(line.getKey()).eligible());
        if (!has && scene.nodes().values().stream().anyMatch(f -> f.eligible() && f.warmth() >= 1)) {
            refusals.add(
                    new Refusal(
                            Reason.NO_NODE,
                            List.of(),
                            "no ready node of " + wanted.size() + " lines"));
        }
        if (refusals.isEmpty()) {
            double moved = movedShare(out, wanted);
            if (!out.isEmpty() && moved > MOVE_MOST && !scene.largeMoveExpected() && stays(out, scene)) {
                refusals.add(
                        new Refusal(
                                Reason.MOVES_TOO_MUCH,
                                List.of(),
                                Math.round(100 * moved) + "% of all weight"));
            }
            long changed = changes(out, wanted);
            if (!out.isEmpty() && changed > scene.deliverableEntries()) {
                refusals.add(
                        new Refusal(
                                Reason.TOO_MANY_LINES,
                                List.of(),
                                changed
                                        + " lines, "
                                        + Math.round(scene.deliverableEntries())
                                        + " can be carried"));
            }
        }
        return refusals;
    }

    /** Whether most of what is out can stay: else a large move is what the list asks for. */
    private static boolean stays(Map<NodeId, Double> out, ValidationContext scene) {
        double all = 0;
        double able = 0;
        for (Map.Entry<NodeId, Double> line : out.entrySet()) {
            NodeFact fact = scene.nodes().get(line.getKey());
            all += line.getValue();
            able += fact != null && fact.eligible() ? line.getValue() : 0;
        }
        return able > all / 2;
    }

    private static double warmMean(Map<NodeId, Double> lines, ValidationContext scene) {
        double mean =
                lines.entrySet().stream()
                        .filter(
                                line -> {
                                    NodeFact fact = scene.nodes().get(line.getKey());
                                    return fact != null
                                            && fact.eligible()
                                            && fact.warmth() >= 1
                                            && Double.isFinite(line.getValue());
                                })
                        .mapToDouble(Map.Entry::getValue)
                        .average()
                        .orElse(Double.NaN);
        // Without a warm node there is nothing to compare with: a whole site has come back cold.
        return Double.isNaN(mean) ? Double.POSITIVE_INFINITY : mean;
    }

    private static long changes(Map<NodeId, Double> out, Map<NodeId, Double> wanted) {
        long same =
                wanted.entrySet().stream()
                        .filter(l -> l.getValue().equals(out.get(l.getKey())))
                        .count();
        return wanted.size()
                - same
                + out.keySet().stream().filter(n -> !wanted.containsKey(n)).count();
    }

    /** The part of all weight that goes to other nodes. */
    static double movedShare(Map<NodeId, Double> from, Map<NodeId, Double> to) {
        double fromSum = from.values().stream().mapToDouble(w -> w).sum();
        double toSum = to.values().stream().mapToDouble(w -> w).sum();
        if (!(fromSum > 0) || !(toSum > 0)) {
            return 1;
        }
        TreeSet<NodeId> all = new TreeSet<>(from.keySet());
        all.addAll(to.keySet());
        return all.stream()
                        .mapToDouble(
                                n ->
                                        Math.abs(
                                                from.getOrDefault(n, 0.0) / fromSum
                                                        - to.getOrDefault(n, 0.0) / toSum))
                        .sum()
                / 2;
    }

    /**
     * The lines that may stay of a table: those of nodes that drain, are gone or unknown are
     * dropped, cold ones are held to their warmth, as a line that stays may have been made for a
     * node that was warm and has started since. If nothing is left, all that can serve take the
     * place: guards against a version that names only nodes that are gone.
     */
    public Map<NodeId, Double> retainableEntries(Map<NodeId, Double> lines, ValidationContext scene) {
        Map<NodeId, Double> left = new TreeMap<>();
        double warmMean = warmMean(lines, scene);
        lines.forEach(
                (node, weight) -> {
                    NodeFact fact = scene.nodes().get(node);
                    if (fact != null && fact.eligible() && Double.isFinite(weight) && weight > 0) {
                        left.put(
                                node,
                                fact.warmth() < 1
                                        ? Math.min(weight, fact.warmth() * warmMean)
                                        : weight);
                    }
                });
        if (left.isEmpty()) {
            scene.nodes()
                    .forEach(
                            (node, fact) -> {
                                if (fact.eligible()) {
                                    left.put(node, fact.warmth());
                                }
                            });
        }
        return left;
    }

    /**
     * One step from lines that were held towards what the module wants: a part of the way, so that
     * releasing a table moves no more than a stated part of all weight at once. Wrong lines are not
     * approached.
     */
    public Map<NodeId, Double> stepTowards(
            Map<NodeId, Double> out, Map<NodeId, Double> wanted, ValidationContext scene) {
        Map<NodeId, Double> from = retainableEntries(out, scene);
        // SimulatorActionWriter are what keeps the move small, so size and count of it are no
        // faults here.
        if (!check(
                        out,
                        wanted,
                        new ValidationContext(
                                scene.nodes(), scene.factsVersion(), true, Double.POSITIVE_INFINITY))
                .isEmpty()) {
            return from;
        }
        double moved = movedShare(from, wanted);
        if (moved <= STEP) {
            return wanted;
        }
        double part = STEP / moved;
        double scale =
                wanted.values().stream().mapToDouble(w -> w).sum()
                        / from.values().stream().mapToDouble(w -> w).sum();
        Map<NodeId, Double> next = new TreeMap<>();
        TreeSet<NodeId> all = new TreeSet<>(from.keySet());
        all.addAll(wanted.keySet());
        for (NodeId node : all) {
            double weight =
                    (1 - part) * scale * from.getOrDefault(node, 0.0)
                            + part * wanted.getOrDefault(node, 0.0);
            next.put(node, weight);
        }
        return retainableEntries(next, scene);
    }
}
