package rosespread.controller;

import java.util.List;

/** What came of a call on a node; {@code told} says why not, or what changed since its revision. */
public record DrainResult(Kind kind, long revision, List<String> told) {
    /** REPEATED: a call of this id was taken up before. */
    public enum Kind {
        DONE,
        REPEATED,
        NO_NODE,
        AMBIGUOUS,
        STALE,
        GUARDED
    }

    static DrainResult done(long revision, boolean before) {
        return new DrainResult(before ? Kind.REPEATED : Kind.DONE, revision, List.of());
    }

    public boolean isDone() {
        return kind == Kind.DONE || kind == Kind.REPEATED;
    }
}
