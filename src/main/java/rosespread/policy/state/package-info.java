/**
 * What the decisions know of nodes, proxies, shards and tables. It holds no tuned values and
 * decides nothing; methods keep what belongs together in step. It uses {@link rosespread.stats} and
 * {@link rosespread.api}; the thread that runs the decisions owns all of it.
 */
package rosespread.policy.state;
