package rosespread.controller;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.discovery.ListedNode;
import rosespread.table.VersionHistory;

/**
 * Puts what a round ordered and committed into the channel: one message for each proxy concerned,
 * with deltas and admission limits of the tables that it follows, exclusions, and full tables.
 *
 * <p>Owned by the event-loop thread.
 */
final class RoundMessageWriter {
    private final Map<ProxyId, ProxySession> sessions;
    private final Map<NodeId, ListedNode> nodes;
    private final PacedChannel channel;
    private final TableRegistry registry;
    private final RoundCapacity capacity;
    private final TreeSet<NodeId> excluded = new TreeSet<>();
    private final TreeMap<MethodId, Frame.Tries> retryConditions = new TreeMap<>();
    private long lastNumber;
    private long round;

    /**
     * @param lastNumber the number after which messages are numbered
     */
    RoundMessageWriter(
            Map<ProxyId, ProxySession> sessions,
            Map<NodeId, ListedNode> nodes,
            PacedChannel channel,
            TableRegistry registry,
            RoundCapacity capacity,
            long lastNumber) {
        this.sessions = sessions;
        this.nodes = nodes;
        this.channel = channel;
        this.registry = registry;
        this.capacity = capacity;
        this.lastNumber = lastNumber;
    }

    /** Returns the number of the last message. */
    long lastNumber() {
        return lastNumber;
    }

    /** Returns a live view of the nodes that are excluded at proxies. */
    Set<NodeId> excluded() {
        return excluded;
    }

    void setExcluded(NodeId node, boolean excludes) {
        if (excludes) {
            excluded.add(node);
        } else {
            excluded.remove(node);
        }
    }

    void setRetryCondition(MethodId method, Frame.Tries when) {
        retryConditions.put(method, when);
    }

    /** Queues the round's messages, in the order of their proxies. */
    void writeRound(RoundActions actions, Map<TableId, Frame.Lines> deltas, long nowNanos) {
        RoundFrames frames = new RoundFrames(nodes, retryConditions);
        round = lastNumber + 1;
        for (ProxySession session : sessions.values()) {
            ProxyMessage message = new ProxyMessage(session, nodes);
            Map<TableId, Set<MethodId>> fullTables = fullTables(session, actions, nowNanos);
            for (TableId table : session.subscribedTables()) {
                if (!fullTables.containsKey(table)) {
                    addChanges(message, table, actions, deltas.get(table), frames);
                }
            }
            addExclusions(message, actions);
            fullTables.forEach((table, methods) -> addFullTable(message, table, methods, frames));
            if (message.isSent()) {
                enqueue(message, actions.acknowledgementToken(), nowNanos);
            }
        }
    }

    /** Returns the tables that a proxy is sent in full, with the methods that follow them. */
    private Map<TableId, Set<MethodId>> fullTables(
            ProxySession session, RoundActions actions, long nowNanos) {
        Map<TableId, Set<MethodId>> tables =
                new LinkedHashMap<>(actions.subscriptions(session.proxy()));
        if (session.needsFullUpdates() && capacity.allowsMessage(session, nowNanos, true)) {
            addPendingFullUpdates(session, tables);
        }
        return tables;
    }

    /** Tables that a proxy could not follow are sent in full as far as the queue has capacity. */
    private void addPendingFullUpdates(ProxySession session, Map<TableId, Set<MethodId>> tables) {
        for (TableId id : session.pendingFullUpdates()) {
            if (!session.isSubscribed(id) || tables.containsKey(id)) {
                session.clearFullUpdate(id);
            } else if (registry.table(id).current().entries().size()
                    <= capacity.entriesThatFit(1, true)) {
                session.clearFullUpdate(id);
                tables.put(id, session.subscribedMethods(id));
            }
        }
    }

    private static void addChanges(
            ProxyMessage message,
            TableId table,
            RoundActions actions,
            Frame.Lines delta,
            RoundFrames frames) {
        // The policy waits for each proxy that it meant to reach, whatever validation let through.
        if (actions.requestsAcknowledgement() && actions.changesWeights(table)) {
            message.require();
        }
        if (delta != null) {
            message.addDelta(frames.delta(delta), delta);
        }
        Map<MethodId, Double> limits = actions.admissionLimits(table);
        if (!limits.isEmpty()) {
            message.add(frames.admissionLimits(table, limits), limits.size());
        }
    }

    private void addExclusions(ProxyMessage message, RoundActions actions) {
        ProxySession session = message.session();
        actions.exclusions()
                .forEach(
                        (node, excludes) -> {
                            if (!session.isSubscribed() || hasWeightFor(session, node)) {
                                message.add(
                                        FrameWriter.bytes(new Frame.Withdraw(node, excludes)), 1);
                            }
                        });
    }

    private boolean hasWeightFor(ProxySession session, NodeId node) {
        return session.subscribedTables().stream()
                .anyMatch(table -> registry.table(table).current().entries().containsKey(node));
    }

    /** With a full table go the exclusions of its nodes, as a Bind clears those before it. */
    private void addFullTable(
            ProxyMessage message, TableId id, Set<MethodId> methods, RoundFrames frames) {
        ProxySession session = message.session();
        VersionHistory history = registry.table(id).history();
        Set<NodeId> weighted = history.current().entries().keySet();
        boolean introduced = session.knowsNoneOf(weighted);
        if (introduced) {
            weighted.stream().filter(nodes::containsKey).forEach(session::introduce);
        } else {
            message.introduce(new TreeSet<>(weighted));
        }
        message.add(
                frames.fullTable(history, methods, introduced, session.acceptsCompression()),
                1 + weighted.size() + history.admissionLimits().size());
        for (NodeId node : excluded) {
            if (weighted.contains(node)) {
                message.add(FrameWriter.bytes(new Frame.Withdraw(node, true)), 1);
            }
        }
        session.subscribe(id, methods);
    }

    private void enqueue(ProxyMessage message, int token, long nowNanos) {
        message.session().recordMessageQueued(nowNanos);
        lastNumber++;
        channel.enqueue(
                message.session(),
                message.frames(),
                new ProxySession.UnacknowledgedMessage(
                        lastNumber,
                        round,
                        token,
                        nowNanos,
                        message.entries() + capacity.messageOverhead(),
                        nowNanos),
                registry.lastSequence());
    }
}
