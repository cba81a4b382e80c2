package rosespread.controller;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;
import rosespread.settings.FleetSettings;
import rosespread.validation.TableChangeValidator;

/**
 * Collects the actions that the policy orders in a round. When the round is closed, changes of
 * tables are validated and committed as versions, and one message is queued in the channel for each
 * proxy concerned. A restart of the policy creates a new writer.
 *
 * <p>Owned by the event-loop thread.
 */
public final class TableUpdateWriter implements PolicyActions {
    private final TableRegistry registry;
    private final Map<ProxyId, ProxySession> sessions;
    private final Map<NodeId, ListedNode> nodes;
    private final NodeFacts facts;
    private final PolicyEffects effects;
    private final ModeLog modes;
    private final RoundActions actions = new RoundActions();
    private final TableCommitter committer;
    private final RoundMessageWriter messageWriter;
    private final TableOperations operations;

    /**
     * The objects that a writer uses; they are kept when the policy restarts.
     *
     * @param sessions a live view of the joined sessions
     * @param nodes a live view of the nodes that tables may have entries for
     */
    record Context(
            Map<ProxyId, ProxySession> sessions,
            Map<NodeId, ListedNode> nodes,
            TableRegistry registry,
            TableChangeValidator validator,
            NodeFacts facts,
            PolicyEffects effects,
            ModeLog modes) {}

    /**
     * @param lastMessageNumber the number after which messages are numbered
     */
    TableUpdateWriter(
            Context context, FleetSettings settings, PacedChannel channel, long lastMessageNumber) {
        this.registry = context.registry();
        this.sessions = context.sessions();
        this.nodes = context.nodes();
        this.facts = context.facts();
        this.effects = context.effects();
        this.modes = context.modes();
        RoundCapacity capacity = new RoundCapacity(sessions, channel, settings);
        TableValidation validation =
                new TableValidation(context.validator(), facts, nodes, capacity, modes);
        this.committer = new TableCommitter(registry, facts, capacity, validation, modes);
        this.messageWriter =
                new RoundMessageWriter(
                        sessions, nodes, channel, registry, capacity, lastMessageNumber);
        this.operations = new TableOperations(registry, facts, validation, modes);
    }

    @Override
    public void setWeight(TableId id, NodeId node, double weight) {
        ManagedTable table = registry.table(id);
        table.setDesired(node, weight);
        ListedNode known = nodes.get(node);
        if (known != null) {
            table.addZone(facts.zone(known));
        }
        actions.setWeight(id, node, weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        Set<MethodId> methodIds = new TreeSet<>();
        methods.forEach(methodIds::add);
        registry.table(table).addMethods(methodIds);
        if (sessions.containsKey(proxy)) {
            actions.subscribe(proxy, table, methodIds);
        }
    }

    @Override
    public void setExcluded(NodeId node, boolean excluded) {
        messageWriter.setExcluded(node, excluded);
        actions.setExcluded(node, excluded);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        registry.table(table).history().admissionLimits().put(method, admitted);
        actions.setAdmissionLimit(table, method, admitted);
    }

    /**
     * Sets the condition on which proxies retry a method. It takes effect with the method's next
     * admission limit. The routing policy never changes the channel's default, a retry only after
     * proof that the first attempt had no effect.
     */
    public void setRetryCondition(MethodId method, Frame.Tries condition) {
        messageWriter.setRetryCondition(method, condition);
    }

    @Override
    public void requestAcknowledgement(int token) {
        actions.requestAcknowledgement(token);
    }

    @Override
    public void checkHealth(NodeId node) {
        effects.checkHealth(node);
    }

    @Override
    public void watchNodes() {
        effects.watchNodes();
    }

    @Override
    public void startTimer(long nanos) {
        effects.startTimer(nanos);
    }

    @Override
    public void report(PolicyEvent event) {
        modes.report(event);
    }

    /** Closes a round: commits its changes and queues one message for each proxy concerned. */
    void closeRound(RoundTime time) {
        Map<TableId, Frame.Lines> deltas = committer.commitRound(actions, time);
        messageWriter.writeRound(actions, deltas, time.nowNanos());
        actions.clear();
    }

    /**
     * Rolls a table back and closes the round, which queues those of the rollback's changes that
     * the channel has capacity for now, see {@link TableOperations}.
     */
    TableActResult rollback(TableId table, long version, RoundTime time) {
        TableActResult result = operations.rollback(table, version);
        if (result instanceof TableActResult.Done) {
            closeRound(time);
        }
        return result;
    }

    TableActResult pin(TableId table) {
        return operations.pin(table);
    }

    TableActResult release(TableId table) {
        return operations.release(table);
    }

    /** Returns a live view of the nodes that the policy excludes. */
    Set<NodeId> excluded() {
        return messageWriter.excluded();
    }

    /** Returns whether any table has a committed or desired weight for the node. */
    boolean hasWeightFor(NodeId node) {
        return registry.tables().stream()
                .anyMatch(
                        table ->
                                table.current().entries().containsKey(node)
                                        || table.desired().containsKey(node));
    }

    /** Returns the number of the last message. */
    long lastMessageNumber() {
        return messageWriter.lastMessageNumber();
    }
}
