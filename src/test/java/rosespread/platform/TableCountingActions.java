package rosespread.platform;

import java.util.Set;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/** Passes actions on and counts the tables that were ever given an entry. */
final class TableCountingActions implements PolicyActions {
    private final PolicyActions next;
    private final Set<TableId> tables = new TreeSet<>();

    TableCountingActions(PolicyActions next) {
        this.next = next;
    }

    int tables() {
        return tables.size();
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        tables.add(table);
        next.setWeight(table, node, weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        next.subscribe(proxy, methods, table);
    }

    @Override
    public void setExcluded(NodeId node, boolean out) {
        next.setExcluded(node, out);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        next.setAdmissionLimit(table, method, admitted);
    }

    @Override
    public void requestAcknowledgement(int mark) {
        next.requestAcknowledgement(mark);
    }

    @Override
    public void checkHealth(NodeId node) {
        next.checkHealth(node);
    }

    @Override
    public void watchNodes() {
        next.watchNodes();
    }

    @Override
    public void startTimer(long nanos) {
        next.startTimer(nanos);
    }

    @Override
    public void report(PolicyEvent event) {
        next.report(event);
    }
}
