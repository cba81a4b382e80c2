package rosespread.channel;

import java.util.List;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * The frames of the pub-sub channel; docs/channel.md gives their bytes. All that a conductor orders
 * of a proxy at one time is one message: any frames and the {@link Mark} that closes it, taken up
 * together.
 */
public sealed interface Frame {
    /** The protocol that this program speaks. */
    int VERSION = 2;

    /**
     * Opens a stream on both sides; the conductor names its methods in the order that numbers them.
     */
    record Hello(int version, String name, List<String> methods) implements Frame {}

    /** A version of a table that a proxy holds, whoever gave it. */
    record Holding(TableId table, long version) {}

    /**
     * A proxy asks to be joined; {@code rate} is its usual RPCs a second, {@code held} the highest
     * versions it was ever given. {@code unpacks} says that it takes packed frames.
     */
    record Join(String proxy, String zone, double rate, boolean unpacks, List<Holding> held)
            implements Frame {
        /** One that was given nothing yet and takes frames as they are. */
        public Join(String proxy, String zone, double rate) {
            this(proxy, zone, rate, false, List.of());
        }
    }

    /** Where a node listens; sent once a stream before the node is first named. */
    record Node(NodeId node, String host, int port, String zone) implements Frame {}

    record Line(NodeId node, double weight) {}

    record Level(MethodId method, double admitted, Tries tries) {}

    /**
     * A whole table at a version for these methods; it takes the place of what the proxy held for
     * them. The digest is over its lines.
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
     * What leads from one version of a table to a later one, and the digest over all lines
     * afterwards; weight 0 removes a line.
     */
    record Lines(TableId table, long from, long to, long digest, List<Line> lines)
            implements Frame {}

    /** The proxy could not follow a delta: it holds this version, or lines with another digest. */
    record Missed(TableId table, long held) implements Frame {}

    /** Shuts a node out of all that the proxy holds, or lets it in again. */
    record Withdraw(NodeId node, boolean out) implements Frame {}

    /**
     * How much of methods a proxy lets in (infinite: all) and when it tries once more elsewhere.
     */
    record Levels(TableId table, List<Level> levels) implements Frame {}

    /**
     * Closes a message: its number, the round that ordered it, the lines it counts with its head,
     * the lines that stood in the channel as it left, itself included, and how long it stood there.
     */
    record Mark(long number, long round, int lines, int waiting, long queuedMicros)
            implements Frame {}

    /** The proxy has taken up everything to this mark. */
    record Installed(long number) implements Frame {}

    /** What a proxy met at a node; NaN for a measure that did not come. Latency in seconds. */
    record Sum(NodeId node, int tries, int unanswered, double latency, double utilization) {}

    record Sums(long coversMicros, List<Sum> sums) implements Frame {}

    record Count(MethodId method, int came) {}

    record Offered(long coversMicros, List<Count> counts) implements Frame {}

    /** Asks to be sent back as it is, if {@code answer} is false. */
    record KeepAlive(long number, boolean answer) implements Frame {}

    /** The last frame of a stream. */
    record Close(Reason reason, String text) implements Frame {}

    /** When a proxy makes a further try at another node. */
    enum Tries {
        NONE,
        AFTER_PROOF,
        AFTER_ANY_FAILURE
    }

    /** Why a stream is closed. */
    enum Reason {
        STOPPING,
        BAD_FRAME,
        BAD_VERSION,
        NO_SETTINGS,
        BAD_JOIN,
        SILENT,
        SLOW,
        REPLACED,
        FULL
    }
}
