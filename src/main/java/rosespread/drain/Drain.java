package rosespread.drain;

import rosespread.api.NodeId;

/**
 * An operator's order on a node: that it drains, or no longer does. Controllers exchange drains and
 * store them; the components have the names of the JSON fields.
 *
 * @param name what discovery calls the node
 * @param on whether the node drains
 * @param stamp a Lamport clock: higher than every stamp that the controller knew when the order was
 *     given, so that the later of two orders on a node is known without wall clocks
 * @param by the operator
 * @param call the idempotency key of the request, so that a repeated one does nothing
 * @param atMillis wall clock of the order, for people only
 */
public record Drain(
        NodeId node, String name, boolean on, long stamp, String by, String call, long atMillis) {

    /**
     * Whether this order takes the place of another one on the same node. A total order over
     * orders, so that all controllers agree whatever arrives first: by stamp, ties by operator and
     * request.
     *
     * @param other may be null, for none
     */
    public boolean supersedes(Drain other) {
        if (other == null || stamp != other.stamp) {
            return other == null || stamp > other.stamp;
        }
        return (by + '/' + call).compareTo(other.by + '/' + other.call) > 0;
    }
}
