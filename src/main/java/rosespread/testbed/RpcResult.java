package rosespread.testbed;

/** Result of an RPC or of one attempt of an RPC. */
public enum RpcResult {
    /** Answered with success. */
    OK,

    /** Rejected by the proxy or by a node before any work was done. */
    REJECTED,

    /** Failed; the RPC may have taken effect. */
    FAILED,

    /** Not answered within its time limit; the RPC may have taken effect. */
    TIMED_OUT,

    /** No connection was made, so the RPC had no effect. */
    UNREACHABLE
}
