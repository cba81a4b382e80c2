package rosespread.resp;

/**
 * Limits on one message; a message that exceeds either is an error.
 *
 * @param maxBytes maximum size on the wire in bytes, including framing
 * @param maxStrings maximum number of strings
 */
public record RespLimits(int maxBytes, int maxStrings) {}
