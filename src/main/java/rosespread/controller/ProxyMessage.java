package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rosespread.api.NodeId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;

/**
 * The message of one round to one proxy while it is put together; used on the event-loop thread.
 */
final class ProxyMessage {
    private final ProxySession session;
    private final Map<NodeId, ListedNode> nodes;
    private final List<byte[]> frames = new ArrayList<>();
    private int entries;
    private boolean required;

    ProxyMessage(ProxySession session, Map<NodeId, ListedNode> nodes) {
        this.session = session;
        this.nodes = nodes;
    }

    ProxySession session() {
        return session;
    }

    List<byte[]> frames() {
        return frames;
    }

    /** Returns the weight entries and admission limits that it carries. */
    int entries() {
        return entries;
    }

    /** It is sent also if it carries nothing, as the policy waits for its acknowledgement. */
    void require() {
        required = true;
    }

    boolean isSent() {
        return !frames.isEmpty() || required;
    }

    /** Adds a table's delta; nodes that get a weight are introduced first. */
    void addDelta(byte[] frame, Frame.Lines delta) {
        for (Frame.Line change : delta.lines()) {
            if (change.weight() > 0) {
                introduce(change.node());
            }
        }
        add(frame, delta.lines().size());
    }

    /** Adds a frame that counts for so many entries. */
    void add(byte[] frame, int count) {
        frames.add(frame);
        entries += count;
    }

    /** Introduces nodes to the stream before their first weight, see {@link #introduce(NodeId)}. */
    void introduce(Set<NodeId> introduced) {
        introduced.forEach(this::introduce);
    }

    /** Introduces a node to the stream; that counts no entry, as no proxy acts on it. */
    private void introduce(NodeId id) {
        ListedNode node = nodes.get(id);
        if (node != null && session.introduce(id)) {
            frames.add(RoundFrames.node(node));
        }
    }
}
