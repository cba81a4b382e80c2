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

/**
 * The facts of all known nodes. The facts of a node are computed at each lookup, as the validation
 * of a small change looks up only a few nodes.
 *
 * <p>A live, read-only view for the event-loop thread.
 */
final class NodeFactsView extends AbstractMap<NodeId, TableChangeValidator.NodeFact> {
    private final Map<NodeId, ListedNode> nodes;
    private final Function<ListedNode, TableChangeValidator.NodeFact> factOf;

    NodeFactsView(
            Map<NodeId, ListedNode> nodes,
            Function<ListedNode, TableChangeValidator.NodeFact> factOf) {
        this.nodes = nodes;
        this.factOf = factOf;
    }

    @Override
    public TableChangeValidator.NodeFact get(Object id) {
        ListedNode node = nodes.get(id);
        return node == null ? null : factOf.apply(node);
    }

    @Override
    public boolean containsKey(Object id) {
        return nodes.containsKey(id);
    }

    @Override
    public Set<Entry<NodeId, TableChangeValidator.NodeFact>> entrySet() {
        return new EntrySet();
    }

    private final class EntrySet extends AbstractSet<Entry<NodeId, TableChangeValidator.NodeFact>> {
        @Override
        public Iterator<Entry<NodeId, TableChangeValidator.NodeFact>> iterator() {
            return new EntryIterator(nodes.entrySet().iterator());
        }

        @Override
        public int size() {
            return nodes.size();
        }
    }

    private final class EntryIterator
            implements Iterator<Entry<NodeId, TableChangeValidator.NodeFact>> {
        private final Iterator<Entry<NodeId, ListedNode>> entries;

        EntryIterator(Iterator<Entry<NodeId, ListedNode>> entries) {
            this.entries = entries;
        }

        @Override
        public boolean hasNext() {
            return entries.hasNext();
        }

        @Override
        public Entry<NodeId, TableChangeValidator.NodeFact> next() {
            Entry<NodeId, ListedNode> entry = entries.next();
            return Map.entry(entry.getKey(), factOf.apply(entry.getValue()));
        }
    }
}
