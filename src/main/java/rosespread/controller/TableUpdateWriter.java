package rosespread.controller;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.controller.TableRegistry.Table;
import rosespread.discovery.ListedNode;
import rosespread.settings.FleetSettings;
import rosespread.table.PinState;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;
import rosespread.validation.ChannelCapacity;
import rosespread.validation.TableChangeValidator;

/**
 * Takes one round's orders, has the gate judge them, commits what passes as versions, and makes one
 * message of it for each proxy concerned. A table's change is written once and shared by all its
 * proxies.
 */
public final class TableUpdateWriter implements PolicyActions {
    /** What the orders act on besides the proxies, and what the gate must know. */
    interface Effects {
        void probe(NodeId node);

        void followList();

        void wakeAfter(long nanos);

        void log(String line);

        TableChangeValidator.ValidationContext scene(
                Set<MethodId> methods, Set<ZoneId> homes, double carried);

        ZoneId zone(ListedNode node);

        /** Changes with what is known of nodes, but for how far a cold one has warmed. */
        long factsVersion();

        /** Whether the list has told anything yet. */
        boolean listKnown();
    }

    private static final long STEP_EVERY = 1_000_000_000L;
    private static final long LOOK_EVERY = 50_000_000L;

    private final TableRegistry book;
    private final TreeSet<NodeId> withdrawn = new TreeSet<>();
    private final Map<ProxyId, ProxySession> links;
    private final Map<NodeId, ListedNode> nodes;
    private final PacedChannel channel;
    private final FleetSettings.Channel limits;
    private final long grace;
    private final int linesPerMessage;
    private final Effects effects;
    private final TableChangeValidator gate;
    private final Map<TableId, Map<NodeId, Double>> changed = new LinkedHashMap<>();
    private final Map<TableId, Map<MethodId, Double>> leveled = new LinkedHashMap<>();
    private final TreeMap<MethodId, Frame.Tries> tries = new TreeMap<>();
    private final Map<ProxyId, Map<TableId, Set<MethodId>>> binds = new LinkedHashMap<>();
    private final Map<NodeId, Boolean> shut = new LinkedHashMap<>();

    /** Lines that were written and should have been answered by now. */
    private long overdue;

    /** Lines that this round's commits so far will put into the channel. */
    private double committed;

    private int mark = -1;
    private long number;
    private long round;

    TableUpdateWriter(
            Map<ProxyId, ProxySession> links,
            Map<NodeId, ListedNode> nodes,
            PacedChannel channel,
            FleetSettings settings,
            TableChangeValidator gate,
            TableRegistry book,
            long firstNumber,
            Effects effects) {
        this.gate = gate;
        this.book = book;
        this.links = links;
        this.nodes = nodes;
        this.channel = channel;
        this.limits = settings.channel();
        this.grace = settings.drainTimeoutNanos();
        this.linesPerMessage = (int) Math.ceil(limits.messageOverheadEntries());
        this.number = firstNumber;
        this.effects = effects;
    }

    @Override
    public void setWeight(TableId id, NodeId node, double weight) {
        Table table = book.table(id);
        if (table.awaited) {
            // What the module orders takes the place of all lines that are out, not only of those
            // it names.
            table.awaited = false;
            table.hold = table.hold == PinState.NONE ? PinState.REFUSED : table.hold;
        }
        if (weight == 0) {
            table.wanted.remove(node);
        } else {
            table.wanted.put(node, weight);
        }
        if (nodes.containsKey(node)) {
            if (table.homes.add(effects.zone(nodes.get(node)))) {
                table.standing.forget();
            }
        }
        changed.computeIfAbsent(id, t -> new LinkedHashMap<>()).put(node, weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        Set<MethodId> all = new TreeSet<>();
        methods.forEach(all::add);
        if (book.table(table).methods.addAll(all)) {
            book.table(table).standing.forget();
        }
        if (links.containsKey(proxy)) {
            binds.computeIfAbsent(proxy, p -> new LinkedHashMap<>()).put(table, all);
        }
    }

    @Override
    public void setExcluded(NodeId node, boolean out) {
        if (out) {
            withdrawn.add(node);
        } else {
            withdrawn.remove(node);
        }
        shut.put(node, out);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        book.table(table).history.admissionLimits().put(method, admitted);
        leveled.computeIfAbsent(table, t -> new LinkedHashMap<>()).put(method, admitted);
    }

    /**
     * When proxies make a further try of a method, from the next order about it on. The module
     * never asks for other than the channel's default, after proof that the first try never ran.
     */
    public void setRetryCondition(MethodId method, Frame.Tries when) {
        tries.put(method, when);
    }

    @Override
    public void requestAcknowledgement(int mark) {
        this.mark = mark;
    }

    @Override
    public void checkHealth(NodeId node) {
        effects.probe(node);
    }

    @Override
    public void watchNodes() {
        effects.followList();
    }

    @Override
    public void startTimer(long nanos) {
        effects.wakeAfter(nanos);
    }

    @Override
    public void log(String line) {
        effects.log(line);
    }

    Set<NodeId> withdrawn() {
        return withdrawn;
    }

    /** Whether a table or a version that is out names the node. */
    boolean names(NodeId node) {
        return book.tables().stream()
                .anyMatch(t -> t.out().lines().containsKey(node) || t.wanted.containsKey(node));
    }

    /** The last number given to a message. */
    long number() {
        return number;
    }

    // ---- acts of operators ----

    /**
     * Commits a kept version's lines as the newest one and holds them. Lines of nodes that drain,
     * are gone or unknown are dropped and cold ones bounded. A later rollback replaces an earlier
     * one; what is in flight is overtaken, as the stream is ordered. Returns why not, or nothing.
     */
    String rollback(TableId id, long version, long now, long wallMillis) {
        Table table = book.find(id);
        if (table == null) {
            return "no table " + id.value();
        }
        TableVersion target = table.history.version(version).orElse(null);
        if (target == null) {
            return "table " + id.value() + " has no version " + version + " any more";
        }
        Map<NodeId, Double> lines =
                effects.listKnown() ? gate.retainableEntries(target.lines(), scene(table)) : target.lines();
        book.hold(table, PinState.PINNED, version, table.out().changesTo(lines));
        effects.log(
                "table "
                        + id.value()
                        + " goes back to version "
                        + version
                        + ": "
                        + table.pending.size()
                        + " lines change");
        close(now, wallMillis);
        return "";
    }

    String pin(TableId id) {
        Table table = book.find(id);
        if (table == null || table.history.isEmpty()) {
            return "no table " + id.value() + (table == null ? "" : " yet");
        }
        book.hold(table, PinState.PINNED, 0, Map.of());
        effects.log("table " + id.value() + " is held at version " + table.out().number());
        return "";
    }

    String release(TableId id) {
        Table table = book.find(id);
        if (table == null || table.hold != PinState.PINNED) {
            return "table " + id.value() + " is not held";
        }
        book.hold(table, PinState.RELEASING, 0, Map.of());
        effects.log("table " + id.value() + " follows the module again, step by step");
        return "";
    }

    // ---- commit ----

    private List<ProxySession> users(TableId table) {
        return links.values().stream().filter(link -> link.bound.containsKey(table)).toList();
    }

    private TableChangeValidator.ValidationContext scene(Table table) {
        if (table.homes.isEmpty()) {
            // A table that was restored: its zones are those of its lines.
            table.out().lines().keySet().stream()
                    .filter(nodes::containsKey)
                    .forEach(node -> table.homes.add(effects.zone(nodes.get(node))));
        }
        return effects.scene(
                table.methods,
                table.homes,
                ChannelCapacity.deliverableEntries(
                        limits.entriesPerSecond(),
                        grace,
                        limits.queueLimitEntries(),
                        channel.linesWaiting() + committed,
                        users(table.id).size(),
                        linesPerMessage + 1));
    }

    /**
     * Commits what goes out of each table. The module's own change goes as ordered if it passes;
     * what the gate puts in its place, and what held tables send, goes as far as there is room
     * beside the module's messages.
     */
    private Map<TableId, Frame.Lines> commit(long now, long wallMillis) {
        Map<TableId, Frame.Lines> deltas = new TreeMap<>();
        long[] late =
                links.values().stream()
                        .mapToLong(
                                link ->
                                        link.marks.stream()
                                                .filter(
                                                        m ->
                                                                ChannelCapacity.overdue(
                                                                        now - m.writtenAt(),
                                                                        limits.maxPropagationDelayNanos()))
                                                .mapToLong(ProxySession.Marked::lines)
                                                .sum())
                        .filter(lines -> lines > 0)
                        .toArray();
        overdue = ChannelCapacity.overdue(Arrays.stream(late).sum(), late.length, links.size());
        // Whatever goes out, each proxy that the module meant to reach gets a message with its
        // mark.
        committed =
                mark < 0
                        ? 0
                        : (linesPerMessage + 1.0)
                                * links.values().stream()
                                        .filter(
                                                link ->
                                                        !Collections.disjoint(
                                                                link.bound.keySet(),
                                                                changed.keySet()))
                                        .count();
        for (Table table : book.tables()) {
            TableVersion out = table.out();
            TableVersion next = moves(table, now) ? committed(table, now, wallMillis) : out;
            if (next.number() != table.sent) {
                List<Frame.Line> lines = new ArrayList<>();
                if (next != out) {
                    next.changes()
                            .forEach((node, weight) -> lines.add(new Frame.Line(node, weight)));
                }
                deltas.put(
                        table.id,
                        new Frame.Lines(table.id, table.sent, next.number(), next.digest(), lines));
                table.sent = next.number();
                boolean marked = mark >= 0 && changed.containsKey(table.id);
                committed +=
                        (lines.size() + (marked ? 0 : linesPerMessage + 1.0))
                                * users(table.id).size();
            }
        }
        return deltas;
    }

    /**
     * Whether a table is to be looked at: it was ordered, or is held and the list can tell what
     * must go. One that is held is looked at as facts change, as long as it has something to send,
     * and now and then.
     */
    private boolean moves(Table table, long now) {
        boolean held =
                effects.listKnown()
                        && (table.hold != PinState.NONE
                                || table.awaited && !table.out().lines().isEmpty());
        if (!changed.containsKey(table.id)
                && !(held
                        && (table.to > 0
                                || !table.pending.isEmpty()
                                || table.lookedBy != effects.factsVersion()
                                || now - table.lookedAt >= LOOK_EVERY))) {
            return false;
        }
        table.lookedAt = now;
        table.lookedBy = effects.factsVersion();
        return true;
    }

    private TableVersion committed(Table table, long now, long wallMillis) {
        TableChangeValidator.ValidationContext scene = scene(table);
        return switch (table.hold) {
            case PINNED -> goingBack(table, scene, now, wallMillis);
            case RELEASING -> released(table, scene, now, wallMillis);
            default ->
                    table.awaited
                            ? awaited(table, scene, now, wallMillis)
                            : judged(table, scene, now, wallMillis);
        };
    }

    private TableVersion judged(
            Table table, TableChangeValidator.ValidationContext scene, long now, long wallMillis) {
        TableVersion out = table.out();
        if (table.hold != PinState.NONE) {
            table.standing.forget();
        }
        TableChangeValidator.ValidationResult verdict =
                gate.validate(
                        table.standing,
                        out.lines(),
                        table.wanted,
                        changed.getOrDefault(table.id, Map.of()),
                        scene);
        boolean followed = table.hold == PinState.NONE && verdict.refusals().isEmpty();
        refused(table, verdict.refusals());
        Map<NodeId, Double> delta =
                followed ? changed.get(table.id) : out.changesTo(verdict.lines());
        if (!followed) {
            table.standing.forget();
            Map<NodeId, Double> all = delta;
            delta = fitting(table, all, scene, now);
            // What was held back is caught up with before the module's changes go out as they come.
            table.hold = delta.size() < all.size() ? PinState.REFUSED : table.hold;
        }
        return book.commit(
                table,
                delta,
                verdict.refusals().isEmpty() ? TableVersion.Cause.MODULE : TableVersion.Cause.GUARD,
                wallMillis);
    }

    /** Until the module has spoken of a table, only what may not stay goes. */
    private TableVersion awaited(
            Table table, TableChangeValidator.ValidationContext scene, long now, long wallMillis) {
        Map<NodeId, Double> delta = table.out().changesTo(gate.retainableEntries(table.out().lines(), scene));
        return book.commit(
                table, fitting(table, delta, scene, now), TableVersion.Cause.GUARD, wallMillis);
    }

    private TableVersion goingBack(
            Table table, TableChangeValidator.ValidationContext scene, long now, long wallMillis) {
        TableVersion out = table.out();
        Map<NodeId, Double> target = new TreeMap<>(out.lines());
        table.pending.forEach(
                (node, weight) -> {
                    if (weight > 0) {
                        target.put(node, weight);
                    } else {
                        target.remove(node);
                    }
                });
        Map<NodeId, Double> all = out.changesTo(gate.retainableEntries(target, scene));
        Map<NodeId, Double> delta = fitting(table, all, scene, now);
        TableVersion next = book.commit(table, delta, TableVersion.Cause.ROLLBACK, wallMillis);
        table.pending.keySet().removeAll(delta.keySet());
        if (table.to > 0 && delta.size() == all.size()) {
            book.hold(table, PinState.PINNED, 0, Map.of());
        }
        return next;
    }

    private TableVersion released(
            Table table, TableChangeValidator.ValidationContext scene, long now, long wallMillis) {
        TableVersion out = table.out();
        boolean due = now - table.steppedAt >= STEP_EVERY;
        Map<NodeId, Double> aim =
                due && !table.awaited
                        ? gate.stepTowards(out.lines(), table.wanted, scene)
                        : gate.retainableEntries(out.lines(), scene);
        Map<NodeId, Double> delta = fitting(table, out.changesTo(aim), scene, now);
        table.steppedAt = due ? now : table.steppedAt;
        if (!table.awaited && out.changesTo(table.wanted).isEmpty()) {
            book.hold(table, PinState.NONE, 0, Map.of());
            effects.log(
                    "table " + table.id.value() + " follows the module at version " + out.number());
        }
        return book.commit(table, delta, TableVersion.Cause.ROLLBACK, wallMillis);
    }

    private void refused(Table table, List<TableChangeValidator.Refusal> refusals) {
        List<TableChangeValidator.Reason> before =
                table.refusals.stream().map(TableChangeValidator.Refusal::reason).toList();
        if (!refusals.stream().map(TableChangeValidator.Refusal::reason).toList().equals(before)) {
            for (TableChangeValidator.Refusal refusal : refusals) {
                table.refused.merge(refusal.reason(), 1L, Long::sum);
                effects.log(
                        "table "
                                + table.id.value()
                                + " after version "
                                + table.out().number()
                                + " refused, "
                                + refusal.reason()
                                + ": "
                                + refusal.figures()
                                + " "
                                + refusal.lines().stream().limit(10).map(this::name).toList());
            }
            if (refusals.isEmpty()) {
                effects.log("table " + table.id.value() + " passes its checks again");
            }
        }
        table.refusals = refusals;
        table.hold = refusals.isEmpty() ? PinState.NONE : PinState.REFUSED;
    }

    private String name(NodeId node) {
        return ListedNode.name(nodes, node);
    }

    private static boolean urgent(
            Map.Entry<NodeId, Double> line,
            Map<NodeId, Double> old,
            TableChangeValidator.ValidationContext scene) {
        TableChangeValidator.NodeFact fact = scene.nodes().get(line.getKey());
        return line.getValue() == 0
                ? fact == null || fact.leaving()
                : fact != null
                        && fact.warmth() < 1
                        && line.getValue() < old.getOrDefault(line.getKey(), 0.0);
    }

    /**
     * As many changes as may leave now: nodes that leave and cold ones that get less, then the
     * largest.
     */
    private Map<NodeId, Double> fitting(
            Table table,
            Map<NodeId, Double> delta,
            TableChangeValidator.ValidationContext scene,
            long now) {
        List<ProxySession> users = users(table.id);
        Map<NodeId, Double> old = table.out().lines();
        // A node that leaves and one that has started cold may wait for neither room nor messages.
        boolean drain = delta.entrySet().stream().anyMatch(l -> urgent(l, old, scene));
        if (users.isEmpty() || delta.isEmpty()) {
            return delta;
        }
        if (!users.stream()
                .allMatch(
                        link ->
                                ChannelCapacity.mayWriteMessage(
                                        limits.messageLimit(),
                                        link.writtenWithin(now, limits.messageWindowNanos()),
                                        drain || table.hold == PinState.PINNED))) {
            return Map.of();
        }
        int fit =
                ChannelCapacity.availableEntries(
                        limits.queueLimitEntries(),
                        channel.linesWaiting() + overdue + committed,
                        users.size(),
                        linesPerMessage + 1,
                        drain);
        Map<NodeId, Double> some = new TreeMap<>();
        delta.entrySet().stream()
                .sorted(
                        Comparator.comparing(
                                        (Map.Entry<NodeId, Double> l) -> !urgent(l, old, scene))
                                .thenComparing(
                                        l ->
                                                -Math.abs(
                                                        l.getValue()
                                                                - old.getOrDefault(
                                                                        l.getKey(), 0.0))))
                .limit(fit)
                .forEach(line -> some.put(line.getKey(), line.getValue()));
        return some;
    }

    /** Closes the round: what was ordered and passed goes into the channel, one message a proxy. */
    void close(long now, long wallMillis) {
        Map<TableId, Frame.Lines> deltas = commit(now, wallMillis);
        RoundFrames frames = new RoundFrames(nodes, tries);
        round = number + 1;
        for (ProxySession link : links.values()) {
            Message message = new Message(link);
            Map<TableId, Set<MethodId>> bound =
                    new LinkedHashMap<>(binds.getOrDefault(link.proxy, Map.of()));
            owed(link, bound, now);
            for (TableId table : link.bound.keySet()) {
                if (!bound.containsKey(table)) {
                    // The module waits for an answer of each proxy that it meant to reach, whatever
                    // went out.
                    message.due |= mark >= 0 && changed.containsKey(table);
                    if (deltas.containsKey(table)) {
                        message.lines(frames.lines(deltas.get(table)), deltas.get(table));
                    }
                    if (leveled.containsKey(table)) {
                        message.add(
                                frames.levels(table, leveled.get(table)),
                                leveled.get(table).size());
                    }
                }
            }
            shut.forEach(
                    (node, out) -> {
                        if (link.bound.isEmpty() || holds(link, node)) {
                            message.add(FrameWriter.bytes(new Frame.Withdraw(node, out)), 1);
                        }
                    });
            bound.forEach((table, methods) -> bind(frames, message, table, methods));
            message.send(now);
        }
        changed.clear();
        leveled.clear();
        binds.clear();
        shut.clear();
        mark = -1;
    }

    /**
     * A proxy that could not follow a table gets it whole at once, as far as its messages and the
     * queue allow.
     */
    private void owed(ProxySession link, Map<TableId, Set<MethodId>> bound, long now) {
        if (link.owes.isEmpty()
                || !ChannelCapacity.mayWriteMessage(
                        limits.messageLimit(),
                        link.writtenWithin(now, limits.messageWindowNanos()),
                        true)) {
            return;
        }
        for (TableId id : List.copyOf(link.owes)) {
            int lines = book.table(id).out().lines().size();
            if (!link.bound.containsKey(id) || bound.containsKey(id)) {
                link.owes.remove(id);
            } else if (lines
                    <= ChannelCapacity.availableEntries(
                            limits.queueLimitEntries(),
                            channel.linesWaiting() + overdue + committed,
                            1,
                            linesPerMessage + 1,
                            true)) {
                link.owes.remove(id);
                bound.put(id, new TreeSet<>(link.bound.get(id)));
            }
        }
    }

    private boolean holds(ProxySession link, NodeId node) {
        return link.bound.keySet().stream()
                .anyMatch(t -> book.table(t).out().lines().containsKey(node));
    }

    /**
     * A whole table; with it goes which of its nodes are withdrawn, as the bind clears what was
     * before.
     */
    private void bind(RoundFrames frames, Message message, TableId id, Set<MethodId> methods) {
        ProxySession link = message.link;
        VersionHistory history = book.table(id).history;
        Set<NodeId> named = history.current().lines().keySet();
        boolean fresh = Collections.disjoint(link.told, named);
        if (fresh) {
            named.stream().filter(nodes::containsKey).forEach(link.told::add);
        } else {
            message.tell(new TreeSet<>(named));
        }
        message.add(
                frames.bind(history, methods, fresh, link.unpacks),
                1 + named.size() + history.admissionLimits().size());
        for (NodeId node : withdrawn) {
            if (named.contains(node)) {
                message.add(FrameWriter.bytes(new Frame.Withdraw(node, true)), 1);
            }
        }
        link.bind(id, methods);
    }

    private final class Message {
        private final ProxySession link;
        private final List<byte[]> frames = new ArrayList<>();
        private int lines;
        private boolean due;

        Message(ProxySession link) {
            this.link = link;
        }

        void lines(byte[] frame, Frame.Lines delta) {
            delta.lines()
                    .forEach(
                            line -> {
                                if (line.weight() > 0) {
                                    tell(Set.of(line.node()));
                                }
                            });
            add(frame, delta.lines().size());
        }

        void add(byte[] frame, int count) {
            frames.add(frame);
            lines += count;
        }

        /**
         * NameRegistry nodes to the stream before their first line; this counts no line, as no
         * proxy acts on it.
         */
        void tell(Set<NodeId> named) {
            for (NodeId id : named) {
                ListedNode node = nodes.get(id);
                if (node != null && link.told.add(id)) {
                    frames.add(RoundFrames.node(node));
                }
            }
        }

        void send(long now) {
            if (!frames.isEmpty() || due) {
                link.written.addLast(now);
                channel.offer(
                        link,
                        frames,
                        lines + linesPerMessage + 1,
                        new ProxySession.Marked(++number, round, mark, now, lines, now),
                        book.last());
            }
        }
    }
}
