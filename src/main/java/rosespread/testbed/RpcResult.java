package rosespread.testbed;

/** How an RPC, or one attempt of it, ended. */
public enum RpcResult {
    /** It was answered with success. */
    OK,

    /** It was refused before any work was done, by the proxy or by a node. */
    REJECTED,

    /** It failed after it may have taken effect. */
    FAILED,

    /** It was not answered before its time was over; it may have taken effect. */
    TIMED_OUT,

    /** No connection was made, so it had no effect. */
    UNREACHABLE
}
