package rosespread.platform;

/**
 * A listed node as shown in the status lines.
 *
 * @param weight the node's weight in the first table that contains it, 0 if none does
 * @param load sums of the node's load reports since the last totals
 */
record NodeStatus(NodeEntry entry, double weight, LoadReportStatistics.NodeTotals load) {}
