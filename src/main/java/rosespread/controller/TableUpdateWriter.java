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
 * Takes the actions of a round from the policy. As the round is closed, changes of tables are
 * validated and committed as versions, and one message goes into the channel for each proxy
 * concerned. It is made again with the policy.
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
    private final RoundMessageWriter messages;
    private final TableOperations operations;

    /**
     * What a writer works on.
     *
     * @param sessions a live view of the joined sessions
     * @param nodes a live view of the nodes that tables may name
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
     * @param lastNumber the number after which messages are numbered
     */
    TableUpdateWriter(
            Context context, FleetSettings settings, PacedChannel channel, long lastNumber) {
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
        this.messages =
                new RoundMessageWriter(sessions, nodes, channel, registry, capacity, lastNumber);
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
        Set<MethodId> all = new TreeSet<>();
        methods.forEach(all::add);
        registry.table(table).addMethods(all);
        if (sessions.containsKey(proxy)) {
            actions.subscribe(proxy, table, all);
        }
    }

    @Override
    public void setExcluded(NodeId node, boolean excluded) {
        messages.setExcluded(node, excluded);
        actions.setExcluded(node, excluded);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        registry.table(table).history().admissionLimits().put(method, admitted);
        actions.setAdmissionLimit(table, method, admitted);
    }

    /**
     * Sets when proxies retry a method, from the next admission limit of it on. The routing policy
     * never asks for other than the channel's default, after proof that the first attempt had no
     * effect.
     */
    public void setRetryCondition(MethodId method, Frame.Tries when) {
        messages.setRetryCondition(method, when);
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

    /** Closes a round: commits what was ordered and queues one message for each proxy concerned. */
    void closeRound(RoundTime time) {
        Map<TableId, Frame.Lines> deltas = committer.commitRound(actions, time);
        messages.writeRound(actions, deltas, time.nowNanos());
        actions.clear();
    }

    /** Rolls a table back and sends what may leave at once, see {@link TableOperations}. */
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
        return messages.excluded();
    }

    /** Whether a table has a weight for the node, committed or desired. */
    boolean hasWeightFor(NodeId node) {
        return registry.tables().stream()
                .anyMatch(
                        table ->
                                table.current().entries().containsKey(node)
                                        || table.desired().containsKey(node));
    }

    /** Returns the number of the last message. */
    long lastNumber() {
        return messages.lastNumber();
    }
}
