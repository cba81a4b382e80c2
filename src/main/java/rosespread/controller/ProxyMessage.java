package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rosespread.api.NodeId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;

/**
 * Builds the message of one round to one proxy.
 *
 * <p>Used on the event-loop thread.
 */
final class ProxyMessage {
    private final ProxySession session;
    private final Map<NodeId, ListedNode> nodes;
    private final List<byte[]> frames = new ArrayList<>();
    private int entries;
    private boolean sendingRequired;

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

    /** Returns the number of weight entries and admission limits in the message. */
    int entries() {
        return entries;
    }

    /** Has the message sent even if it is empty, as the policy waits for its acknowledgement. */
    void requireSending() {
        sendingRequired = true;
    }

    boolean mustBeSent() {
        return !frames.isEmpty() || sendingRequired;
    }

    /** Adds a table's delta, preceded by the addresses of its nodes that the stream lacks. */
    void addDelta(byte[] frame, Frame.Lines delta) {
        for (Frame.Line change : delta.lines()) {
            if (change.weight() > 0) {
                addAddress(change.node());
            }
        }
        add(frame, delta.lines().size());
    }

    /**
     * Adds a frame.
     *
     * @param count the number of entries that the frame counts as
     */
    void add(byte[] frame, int count) {
        frames.add(frame);
        entries += count;
    }

    /**
     * Adds the addresses of the given nodes that the stream lacks. A proxy must have a node's
     * address before the node's first weight.
     */
    void addAddresses(Set<NodeId> ids) {
        ids.forEach(this::addAddress);
    }

    /** Adds a node's address, which does not count as an entry, as no proxy acts on it. */
    private void addAddress(NodeId id) {
        ListedNode node = nodes.get(id);
        if (node != null && session.recordAddressSent(id)) {
            frames.add(RoundFrames.nodeAddress(node));
        }
    }
}
