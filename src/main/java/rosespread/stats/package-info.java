/**
 * Data structures for the policy's measurements: decaying sums, windowed rates, messages in flight,
 * fair shares. They hold no tuned values, read no clock and make no decisions; they are owned by
 * the thread that runs the policy. The package uses only {@link rosespread.api}.
 */
package rosespread.stats;
