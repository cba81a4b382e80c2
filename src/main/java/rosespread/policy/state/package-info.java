/**
 * What decisions know of nodes, proxies and tables. It holds no tuned values and decides nothing.
 */
package rosespread.policy.state;
