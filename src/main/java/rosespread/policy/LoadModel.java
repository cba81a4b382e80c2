package rosespread.policy;

/**
 * The estimates of load and capacity that weights and admission limits are derived from.
 *
 * @param units capacity of nodes in RPCs per second
 * @param load load relative to the available capacity
 * @param capacity capacity of nodes, and the ratio of it that is spare
 * @param demands offered load of methods
 * @param coldTables tables whose warming nodes cannot take the demand
 */
record LoadModel(
        CapacityUnits units,
        LoadEstimator load,
        CapacityEstimator capacity,
        DemandEstimator demands,
        ColdTableLimiter coldTables) {}
