package rosespread.controller;

import rosespread.discovery.ListedNode;

/**
 * An operator's request to drain a node or to end a drain.
 *
 * @param node the node's name, or name@host:port where several nodes have the name
 * @param on true to drain the node, false to end its drain
 * @param operator the operator who made the request
 * @param id the id of the request; repeated requests with one id have effect once
 * @param revision the last revision that the operator has seen; negative for any
 * @param force whether to override the drain guard
 */
public record DrainRequest(
        String node, boolean on, String operator, String id, long revision, boolean force) {
    /** Whether the request is for this node. */
    boolean matches(ListedNode listed) {
        return node.equals(listed.name()) || node.equals(qualifiedName(listed));
    }

    /** Returns {@code name@host:port}, which distinguishes a node from others of its name. */
    static String qualifiedName(ListedNode node) {
        return node.name() + "@" + node.host() + ":" + node.port();
    }
}
