package rosespread.controller;

/**
 * The time at which a round's actions are committed, by two clocks.
 *
 * @param nowNanos the time of {@link System#nanoTime()}
 * @param wallMillis the wall clock in milliseconds since the epoch, recorded in versions
 */
record RoundTime(long nowNanos, long wallMillis) {}
