package rosespread.drain;

import rosespread.api.NodeId;

/**
 * An operator's word on a node: that it drains, or no longer does.
 *
 * @param name what the list calls the node
 * @param stamp rises with each word that a conductor gives or hears of, so that the later of two
 *     words on a node is known without clocks
 * @param by who gave it; @param call the id of the call that gave it, so that a repeated call does
 *     nothing
 * @param atMillis wall clock, for people only
 */
public record Drain(
        NodeId node, String name, boolean on, long stamp, String by, String call, long atMillis) {

    /** Whether this word takes the place of another one on the same node, wherever it was given. */
    public boolean supersedes(Drain other) {
        return other == null
                || stamp > other.stamp
                || stamp == other.stamp
                        && (by + '/' + call).compareTo(other.by + '/' + other.call) > 0;
    }
}
