package rosespread.drain;

import rosespread.api.NodeId;

/**
 * An operator's order to start or end the drain of a node. Controllers exchange drains and store
 * them; the components have the names of the JSON fields.
 *
 * @param name the node's name in the node list
 * @param on true to start the drain, false to end it
 * @param stamp a Lamport timestamp, higher than every stamp that the controller knew when the order
 *     was given, so that the later of two orders for a node is determined without wall clocks
 * @param by the operator
 * @param call the idempotency key of the request, so that a repeated request has no effect
 * @param atMillis wall-clock time of the order in milliseconds since the epoch, for display only
 */
public record Drain(
        NodeId node, String name, boolean on, long stamp, String by, String call, long atMillis) {

    /**
     * Returns whether this order replaces another order for the same node. Orders are compared by
     * stamp, and with equal stamps by operator and request id. This is a total order, so that all
     * controllers agree regardless of the order of arrival.
     *
     * @param other null if there is no other order, which this order always replaces
     */
    public boolean supersedes(Drain other) {
        if (other == null || stamp != other.stamp) {
            return other == null || stamp > other.stamp;
        }
        return (by + '/' + call).compareTo(other.by + '/' + other.call) > 0;
    }
}
