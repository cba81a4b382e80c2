package rosespread.controller;

/**
 * The time at which a round's actions are committed.
 *
 * @param nowNanos by {@link System#nanoTime()}
 * @param wallMillis by the wall clock, for versions
 */
record RoundTime(long nowNanos, long wallMillis) {}
