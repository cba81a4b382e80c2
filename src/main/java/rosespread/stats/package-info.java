/**
 * Data structures that the decisions keep their measurements in: decaying sums, windowed rates,
 * messages in flight, fair shares. They hold no tuned values, read no clock and know nothing of
 * decisions; the thread that runs these owns them. The package uses {@link rosespread.api} alone.
 */
package rosespread.stats;
