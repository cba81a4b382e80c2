/**
 * State of the policy: nodes, proxies, shards and tables. The package holds no tuning constants and
 * makes no decisions; its methods keep related values consistent. It uses {@link rosespread.stats}
 * and {@link rosespread.api}. The thread that runs the policy owns all of its objects.
 */
package rosespread.policy.state;
