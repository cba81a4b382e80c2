package rosespread.controller;

import rosespread.discovery.ListedNode;

/**
 * An operator's call to drain a node or to end that.
 *
 * @param node a name, or name@host:port where several have the name
 * @param revision the last one that the operator has seen; negative for whatever it is
 * @param id repeated calls of one id are one
 * @param force whether the guard is passed over
 */
public record DrainRequest(
        String node, boolean on, String by, String id, long revision, boolean force) {
    /** Whether the request names this node. */
    boolean names(ListedNode listed) {
        return node.equals(listed.name()) || node.equals(qualifiedName(listed));
    }

    /** Returns the name by which a node can be told from others of its name. */
    static String qualifiedName(ListedNode node) {
        return node.name() + "@" + node.host() + ":" + node.port();
    }
}
