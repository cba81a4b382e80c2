package rosespread.channel;

import java.util.List;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * The frames of the channel; docs/channel.md gives their bytes. All that a controller sends to a
 * proxy in one round is one message: any number of frames closed by a {@link Mark}, which the proxy
 * applies together.
 *
 * <p>Frames are immutable as long as their lists are; the lists are not copied.
 */
public sealed interface Frame {
    /** The version of the protocol that this program speaks. */
    int VERSION = 2;

    /**
     * Opens a stream, in both directions.
     *
     * @param version the sender's {@link #VERSION}
     * @param name the sender's name
     * @param methods the controller's methods, in the order of their ids; a proxy names none
     */
    record Hello(int version, String name, List<String> methods) implements Frame {}

    /** A version of a table that a proxy holds, whichever controller sent it. */
    record Holding(TableId table, long version) {}

    /**
     * A proxy's registration.
     *
     * @param proxy its name, which is its identity: a later stream of the same name replaces this
     * @param rate its usual load in RPCs a second
     * @param unpacks whether it accepts packed frames
     * @param held the highest version of each table that it ever received
     */
    record Join(String proxy, String zone, double rate, boolean unpacks, List<Holding> held)
            implements Frame {
        /** The registration of a proxy without tables that does not accept packed frames. */
        public Join(String proxy, String zone, double rate) {
            this(proxy, zone, rate, false, List.of());
        }
    }

    /** The address of a node; sent once a stream, before another frame names the node. */
    record Node(NodeId node, String host, int port, String zone) implements Frame {}

    /** A weight entry; in a delta, weight 0 removes the node. */
    record Line(NodeId node, double weight) {}

    /**
     * A method's admission limit and retry policy.
     *
     * @param admitted a share or RPCs a second, as the settings say; infinite admits all
     */
    record Level(MethodId method, double admitted, Tries tries) {}

    /**
     * A full table and the methods that follow it, in place of all that the proxy held for them.
     *
     * @param digest over the lines, as docs/channel.md defines it
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
     * @param digest over all lines of the table after the change
     */
    record Lines(TableId table, long from, long to, long digest, List<Line> lines)
            implements Frame {}

    /**
     * A proxy's request for a full table: a delta did not follow what it holds, or led to another
     * digest.
     *
     * @param held the version that it holds
     */
    record Missed(TableId table, long held) implements Frame {}

    /** Excludes a node from all tables of the proxy, or readmits it if {@code out} is false. */
    record Withdraw(NodeId node, boolean out) implements Frame {}

    /** New admission limits and retry policies of a table's methods. */
    record Levels(TableId table, List<Level> levels) implements Frame {}

    /**
     * Closes a message.
     *
     * @param number identifies the message; numbers rise over streams and restarts
     * @param round the round that ordered it
     * @param lines the entries that the message counts, with its overhead
     * @param waiting the entries queued in the channel when it left, its own included
     * @param queuedMicros how long it was queued, in microseconds
     */
    record Mark(long number, long round, int lines, int waiting, long queuedMicros)
            implements Frame {}

    /** A proxy's acknowledgement of all messages up to the {@link Mark} of this number. */
    record Installed(long number) implements Frame {}

    /**
     * What a proxy measured at one node.
     *
     * @param tries attempts that ended
     * @param unanswered those of them without a response
     * @param latency in seconds; NaN if not measured
     * @param utilization as the node reported it; NaN if not measured
     */
    record Sum(NodeId node, int tries, int unanswered, double latency, double utilization) {}

    /**
     * A proxy's load report.
     *
     * @param coversMicros the time it covers, in microseconds
     */
    record Sums(long coversMicros, List<Sum> sums) implements Frame {}

    /** How many RPCs of a method arrived at a proxy. */
    record Count(MethodId method, int came) {}

    /**
     * A proxy's demand report.
     *
     * @param coversMicros the time it covers, in microseconds
     */
    record Offered(long coversMicros, List<Count> counts) implements Frame {}

    /** A heartbeat; one with {@code answer} false is to be returned with the same number. */
    record KeepAlive(long number, boolean answer) implements Frame {}

    /**
     * The last frame of a stream.
     *
     * @param text details for the other side's log
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
        /** Once, if the first attempt provably never ran. */
        AFTER_PROOF,
        /** Once, after any failure. */
        AFTER_ANY_FAILURE
    }

    /** Why a stream is closed. The ordinal is the value on the wire. */
    enum Reason {
        /** The sender is stopping. */
        STOPPING,
        /** The other side broke the protocol. */
        BAD_FRAME,
        /** The versions of the protocol differ. */
        BAD_VERSION,
        /** The controller has no settings yet. */
        NO_SETTINGS,
        /** The registration was not acceptable. */
        BAD_JOIN,
        /** Nothing came for too long, or no registration came in time. */
        SILENT,
        /** The receiver did not read fast enough. */
        SLOW,
        /** A later stream has the same name. */
        REPLACED,
        /** The controller accepts no more proxies. */
        FULL
    }
}
