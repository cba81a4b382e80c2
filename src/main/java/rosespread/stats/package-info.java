/** Data structures that the decisions keep their measurements in. They hold no tuned values. */
package rosespread.stats;
