package rosespread.controller;

import rosespread.discovery.ListedNode;

/**
 * An operator's request to drain a node or to end a drain.
 *
 * @param node a name, or name@host:port where several nodes have the name
 * @param on whether the node is to drain
 * @param by the operator
 * @param id of the request; repeated requests of one id count once
 * @param revision the last one that the operator has seen; negative for any
 * @param force whether the guard's objections are overridden
 */
public record DrainRequest(
        String node, boolean on, String by, String id, long revision, boolean force) {
    /** Whether the request names this node. */
    boolean names(ListedNode listed) {
        return node.equals(listed.name()) || node.equals(qualifiedName(listed));
    }

    /** Returns the name by which a node can be distinguished from others of its name. */
    static String qualifiedName(ListedNode node) {
        return node.name() + "@" + node.host() + ":" + node.port();
    }
}
