package rosespread.scenario;

import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.controller.TableUpdateWriter;

/** Forwards a policy's actions unchanged. */
class ForwardingActions implements PolicyActions {
    private final TableUpdateWriter out;

    ForwardingActions(TableUpdateWriter out) {
        this.out = out;
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        out.setWeight(table, node, weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        out.subscribe(proxy, methods, table);
    }

    @Override
    public void setExcluded(NodeId node, boolean excluded) {
        out.setExcluded(node, excluded);
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        out.setAdmissionLimit(table, method, admitted);
    }

    @Override
    public void requestAcknowledgement(int token) {
        out.requestAcknowledgement(token);
    }

    @Override
    public void checkHealth(NodeId node) {
        out.checkHealth(node);
    }

    @Override
    public void watchNodes() {
        out.watchNodes();
    }

    @Override
    public void startTimer(long nanos) {
        out.startTimer(nanos);
    }

    @Override
    public void report(PolicyEvent event) {
        out.report(event);
    }
}
