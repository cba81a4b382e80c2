package rosespread.controller;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;
import rosespread.validation.TableChangeValidator;

/** What is known of nodes, worked out for those that are asked for: a small change asks for few. */
final class NodeFactsView extends AbstractMap<NodeId, TableChangeValidator.NodeFact> {
    private final Map<NodeId, ListedNode> nodes;
    private final Function<ListedNode, TableChangeValidator.NodeFact> fact;

    NodeFactsView(
            Map<NodeId, ListedNode> nodes,
            Function<ListedNode, TableChangeValidator.NodeFact> fact) {
        this.nodes = nodes;
        this.fact = fact;
    }

    @Override
    public TableChangeValidator.NodeFact get(Object node) {
        ListedNode listed = nodes.get(node);
        return listed == null ? null : fact.apply(listed);
    }

    @Override
    public boolean containsKey(Object node) {
        return nodes.containsKey(node);
    }

    @Override
    public Set<Entry<NodeId, TableChangeValidator.NodeFact>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public Iterator<Entry<NodeId, TableChangeValidator.NodeFact>> iterator() {
                Iterator<Entry<NodeId, ListedNode>> each = nodes.entrySet().iterator();
                return new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return each.hasNext();
                    }

                    @Override
                    public Entry<NodeId, TableChangeValidator.NodeFact> next() {
                        Entry<NodeId, ListedNode> next = each.next();
                        return Map.entry(next.getKey(), fact.apply(next.getValue()));
                    }
                };
            }

            @Override
            public int size() {
                return nodes.size();
            }
        };
    }
}
