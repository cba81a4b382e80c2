package rosespread.resp;

/** Bounds on one message: its bytes in all, framing among them, and how many strings it has. */
public record RespLimits(int maxBytes, int maxStrings) {}
