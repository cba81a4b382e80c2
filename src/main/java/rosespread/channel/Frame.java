package rosespread.channel;

import java.util.List;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * A frame of the channel; docs/channel.md specifies the bytes. Everything a controller sends to a
 * proxy in one round is one message: any number of frames followed by a {@link Mark}. The proxy
 * applies the frames of a message together.
 *
 * <p>Lists are not copied, so a frame is immutable only if its lists are.
 */
public sealed interface Frame {
    /** The protocol version that this program implements. */
    int VERSION = 2;

    /**
     * Opens a stream, in both directions.
     *
     * @param version the sender's {@link #VERSION}
     * @param name the sender's name
     * @param methods the controller's methods, in the order of their ids; empty from a proxy
     */
    record Hello(int version, String name, List<String> methods) implements Frame {}

    /** The version of a table that a proxy holds, regardless of the controller that sent it. */
    record Holding(TableId table, long version) {}

    /**
     * A proxy's registration.
     *
     * @param proxy the proxy's name, which identifies it: a later stream of that name replaces this
     *     one
     * @param rate the proxy's usual load, in RPCs per second
     * @param unpacks whether the proxy accepts packed frames
     * @param held the highest version of each table that the proxy has ever received
     */
    record Join(String proxy, String zone, double rate, boolean unpacks, List<Holding> held)
            implements Frame {
        /** The registration of a proxy without tables that does not accept packed frames. */
        public Join(String proxy, String zone, double rate) {
            this(proxy, zone, rate, false, List.of());
        }
    }

    /** The address of a node; sent once per stream, before any other frame that names the node. */
    record Node(NodeId node, String host, int port, String zone) implements Frame {}

    /** A weight entry; in a delta, weight 0 removes the node. */
    record Line(NodeId node, double weight) {}

    /**
     * A method's admission limit and retry policy.
     *
     * @param admitted the limit as a fraction of the method's RPCs or in RPCs per second, as the
     *     settings say; infinity admits all RPCs
     */
    record Level(MethodId method, double admitted, Tries tries) {}

    /**
     * A full table and the methods that use it; replaces the weight entries, admission limits and
     * retry policies that the proxy held for these methods.
     *
     * @param digest the digest of the lines, as docs/channel.md defines it
     */
    record Bind(
            TableId table,
            long version,
            long digest,
            List<MethodId> methods,
            List<Line> lines,
            List<Level> levels)
            implements Frame {}

    /**
     * A delta from one version of a table to a later one.
     *
     * @param digest the digest of all lines of the table after the delta
     */
    record Lines(TableId table, long from, long to, long digest, List<Line> lines)
            implements Frame {}

    /**
     * A proxy's request for a full table, because a delta started from another version than the one
     * held, or because the digest after a delta did not match.
     *
     * @param held the version that the proxy holds
     */
    record Missed(TableId table, long held) implements Frame {}

    /** Excludes a node from all tables of the proxy, or readmits it if {@code out} is false. */
    record Withdraw(NodeId node, boolean out) implements Frame {}

    /** New admission limits and retry policies of a table's methods. */
    record Levels(TableId table, List<Level> levels) implements Frame {}

    /**
     * Closes a message.
     *
     * @param number identifies the message; numbers increase across streams and restarts
     * @param round the controller's round that ordered the message
     * @param lines the entries that the message counts as, its overhead included
     * @param waiting the entries queued in the channel when the message was sent, its own included
     * @param queuedMicros how long the message was queued, in microseconds
     */
    record Mark(long number, long round, int lines, int waiting, long queuedMicros)
            implements Frame {}

    /** A proxy's acknowledgement of all messages up to the {@link Mark} of this number. */
    record Installed(long number) implements Frame {}

    /**
     * A proxy's measurements of one node.
     *
     * @param tries attempts that ended
     * @param unanswered attempts that ended without a response
     * @param latency in seconds; NaN if not measured
     * @param utilization as the node reported it; NaN if not measured
     */
    record Sum(NodeId node, int tries, int unanswered, double latency, double utilization) {}

    /**
     * A proxy's load report.
     *
     * @param coversMicros the time that the report covers, in microseconds
     */
    record Sums(long coversMicros, List<Sum> sums) implements Frame {}

    /** The number of RPCs of a method that arrived at a proxy. */
    record Count(MethodId method, int rpcs) {}

    /**
     * A proxy's demand report.
     *
     * @param coversMicros the time that the report covers, in microseconds
     */
    record Offered(long coversMicros, List<Count> counts) implements Frame {}

    /**
     * A heartbeat. If {@code answer} is false, the receiver sends a heartbeat with the same number
     * and {@code answer} true.
     */
    record KeepAlive(long number, boolean answer) implements Frame {}

    /**
     * The last frame of a stream.
     *
     * @param text details for the receiver's log
     */
    record Close(Reason reason, String text) implements Frame {}

    /**
     * When a proxy retries at another node. The ordinal is the value on the wire.
     *
     * @see Level
     */
    enum Tries {
        /** Never. */
        NONE,
        /** Once, if it is certain that the first attempt never ran. */
        AFTER_PROOF,
        /** Once, after any failure. */
        AFTER_ANY_FAILURE
    }

    /** Why a stream is closed. The ordinal is the value on the wire. */
    enum Reason {
        /** The sender is stopping. */
        STOPPING,
        /** The receiver violated the protocol. */
        BAD_FRAME,
        /** The protocol versions differ. */
        BAD_VERSION,
        /** The controller has no settings yet. */
        NO_SETTINGS,
        /** The registration was not acceptable. */
        BAD_JOIN,
        /**
         * No frame was received for several keep-alive intervals, or no registration within the
         * join timeout.
         */
        SILENT,
        /**
         * The receiver read too slowly: the unread bytes exceeded the limit of the sender's buffer.
         */
        SLOW,
        /** A later stream has the same name. */
        REPLACED,
        /** The controller accepts no more proxies. */
        FULL
    }
}
