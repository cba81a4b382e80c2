package rosespread.conductor;

import rosespread.api.KindId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.Observer;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** Hears everything and does nothing. */
class SilentObserver implements Observer {
    @Override
    public void listBegins(ListKind kind) {}

    @Override
    public void node(
            NodeId node, KindId kind, ZoneId zone, double weight, NodeState state, long started) {}

    @Override
    public void listEnds() {}

    @Override
    public void proxyJoined(ProxyId proxy, ZoneId zone, double rate) {}

    @Override
    public void proxyLeft(ProxyId proxy) {}

    @Override
    public void installed(ProxyId proxy, int mark, long took) {}

    @Override
    public void sums(
            NodeId node,
            ZoneId zone,
            int tries,
            int unanswered,
            double latency,
            long covers,
            double utilization) {}

    @Override
    public void offered(ProxyId proxy, MethodId method, int count, long covers) {}

    @Override
    public void probed(NodeId node, Verdict verdict) {}

    @Override
    public void woke() {}
}
