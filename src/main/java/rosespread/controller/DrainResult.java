package rosespread.controller;

import java.util.List;

/**
 * Result of an operator's request to drain a node or to end a drain.
 *
 * @param revision the revision of all drains after the request
 * @param details why the request was rejected; for {@link Kind#STALE} the drains that changed since
 *     the request's revision; empty if the request was done
 */
public record DrainResult(Kind kind, long revision, List<String> details) {
    /** How a request ended. */
    public enum Kind {
        /** The request was done. */
        DONE,
        /** A request of the same id was done before. */
        REPEATED,
        /** No listed node has the name. */
        NO_NODE,
        /** Several listed nodes have the name. */
        AMBIGUOUS,
        /** Drains changed since the revision that the request names. */
        STALE,
        /**
         * The drain guard rejected the request: too little capacity, or no ready node of a zone,
         * would be left.
         */
        GUARDED
    }

    static DrainResult done(long revision, boolean repeated) {
        return new DrainResult(repeated ? Kind.REPEATED : Kind.DONE, revision, List.of());
    }

    /** Whether the drain is as requested, by this request or an earlier one of its id. */
    public boolean isDone() {
        return kind == Kind.DONE || kind == Kind.REPEATED;
    }
}
