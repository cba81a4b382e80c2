package rosespread.platform;

import java.util.Set;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/** Forwards actions and counts the tables that were ever given an entry. */
final class TableCountingActions implements PolicyActions {
    private final PolicyActions delegate;
    private final Set<TableId> tables = new TreeSet<>();

    TableCountingActions(PolicyActions delegate) {
        this.delegate = delegate;
    }

    int tables() {
        return tables.size();
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        tables.add(table);
        delegate.setWeight(table, node, weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        delegate.subscribe(proxy, methods, table);
    }

    @Override
    public void setExcluded(NodeId node, boolean excluded) {
        delegate.setExcluded(node, excluded);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double limit) {
        delegate.setAdmissionLimit(table, method, limit);
    }

    @Override
    public void requestAcknowledgement(int policyToken) {
        delegate.requestAcknowledgement(policyToken);
    }

    @Override
    public void checkHealth(NodeId node) {
        delegate.checkHealth(node);
    }

    @Override
    public void watchNodes() {
        delegate.watchNodes();
    }

    @Override
    public void startTimer(long nanos) {
        delegate.startTimer(nanos);
    }

    @Override
    public void report(PolicyEvent event) {
        delegate.report(event);
    }
}
