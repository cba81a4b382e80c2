package rosespread.platform;

/**
 * A listed node as the status lines show it.
 *
 * @param weight its weight in the first table that names it, 0 if none does
 * @param load what load reports said of it since the last totals
 */
record NodeStatus(NodeEntry entry, double weight, LoadReportStatistics.NodeTotals load) {}
