package rosespread.resp;

/**
 * Limits on one message; a message over either is an error.
 *
 * @param maxBytes its size on the wire, framing included
 * @param maxStrings the number of its strings
 */
public record RespLimits(int maxBytes, int maxStrings) {}
