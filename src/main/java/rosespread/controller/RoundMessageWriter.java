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
 * Queues the messages of a round in the channel: one message for each proxy concerned, with the
 * deltas and admission limits of its subscribed tables, exclusions, and full tables.
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
    private long lastMessageNumber;
    private long round;

    /**
     * @param lastMessageNumber the number after which messages are numbered
     */
    RoundMessageWriter(
            Map<ProxyId, ProxySession> sessions,
            Map<NodeId, ListedNode> nodes,
            PacedChannel channel,
            TableRegistry registry,
            RoundCapacity capacity,
            long lastMessageNumber) {
        this.sessions = sessions;
        this.nodes = nodes;
        this.channel = channel;
        this.registry = registry;
        this.capacity = capacity;
        this.lastMessageNumber = lastMessageNumber;
    }

    /** Returns the number of the last message. */
    long lastMessageNumber() {
        return lastMessageNumber;
    }

    /** Returns a live view of the nodes that are excluded at proxies. */
    Set<NodeId> excluded() {
        return excluded;
    }

    void setExcluded(NodeId node, boolean isExcluded) {
        if (isExcluded) {
            excluded.add(node);
        } else {
            excluded.remove(node);
        }
    }

    void setRetryCondition(MethodId method, Frame.Tries condition) {
        retryConditions.put(method, condition);
    }

    /** Queues the round's messages, in the order of the proxies' ids. */
    void writeRound(RoundActions actions, Map<TableId, Frame.Lines> deltas, long nowNanos) {
        RoundFrames frames = new RoundFrames(nodes, retryConditions);
        round = lastMessageNumber + 1;
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
            if (message.mustBeSent()) {
                enqueue(message, actions.acknowledgementToken(), nowNanos);
            }
        }
    }

    /** Returns the tables to send to a proxy in full, with the methods that follow each table. */
    private Map<TableId, Set<MethodId>> fullTables(
            ProxySession session, RoundActions actions, long nowNanos) {
        Map<TableId, Set<MethodId>> tables =
                new LinkedHashMap<>(actions.subscriptions(session.proxy()));
        if (session.needsFullUpdates() && capacity.allowsMessage(session, nowNanos, true)) {
            addPendingFullUpdates(session, tables);
        }
        return tables;
    }

    /**
     * Adds the full tables that a proxy needs because it could not apply a delta, as far as the
     * channel has capacity.
     */
    private void addPendingFullUpdates(ProxySession session, Map<TableId, Set<MethodId>> tables) {
        for (TableId id : session.pendingFullUpdates()) {
            if (!session.isSubscribed(id) || tables.containsKey(id)) {
                session.clearFullUpdate(id);
            } else if (registry.table(id).current().entries().size()
                    <= capacity.availableEntries(1, true)) {
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
        // The policy waits for each proxy that its changes were meant for, even if validation
        // refused these changes.
        if (actions.requestsAcknowledgement() && actions.changesWeights(table)) {
            message.requireSending();
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
                        (node, isExcluded) -> {
                            if (!session.isSubscribed() || hasWeightFor(session, node)) {
                                message.add(
                                        FrameWriter.bytes(new Frame.Withdraw(node, isExcluded)), 1);
                            }
                        });
    }

    private boolean hasWeightFor(ProxySession session, NodeId node) {
        return session.subscribedTables().stream()
                .anyMatch(table -> registry.table(table).current().entries().containsKey(node));
    }

    /**
     * Adds a full table and the exclusions of its nodes, as the Bind frame clears all exclusions
     * sent before it.
     */
    private void addFullTable(
            ProxyMessage message, TableId id, Set<MethodId> methods, RoundFrames frames) {
        ProxySession session = message.session();
        VersionHistory history = registry.table(id).history();
        Set<NodeId> tableNodes = history.current().entries().keySet();
        boolean withAddresses = session.lacksAllAddresses(tableNodes);
        if (withAddresses) {
            tableNodes.stream().filter(nodes::containsKey).forEach(session::recordAddressSent);
        } else {
            message.addAddresses(new TreeSet<>(tableNodes));
        }
        message.add(
                frames.fullTable(history, methods, withAddresses, session.acceptsCompression()),
                1 + tableNodes.size() + history.admissionLimits().size());
        for (NodeId node : excluded) {
            if (tableNodes.contains(node)) {
                message.add(FrameWriter.bytes(new Frame.Withdraw(node, true)), 1);
            }
        }
        session.subscribe(id, methods);
    }

    private void enqueue(ProxyMessage message, int token, long nowNanos) {
        message.session().recordMessageQueued(nowNanos);
        lastMessageNumber++;
        channel.enqueue(
                message.session(),
                message.frames(),
                new ProxySession.UnacknowledgedMessage(
                        lastMessageNumber,
                        round,
                        token,
                        nowNanos,
                        message.entries() + capacity.messageOverhead(),
                        nowNanos),
                registry.lastSequence());
    }
}
