package rosespread.controller;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.channel.FrameCompression;
import rosespread.channel.FrameReader;
import rosespread.channel.FrameWriter;
import rosespread.discovery.ListedNode;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;

/**
 * The encoded frames of one round. Each frame is encoded once, however many proxies receive it. An
 * instance is used for one round only.
 *
 * <p>Used on the event-loop thread.
 */
final class RoundFrames {
    /** Minimum plain size of frames to be compressed; smaller ones are sent uncompressed. */
    private static final int MIN_COMPRESSED_BYTES = 1024;

    /**
     * Maximum ratio of a frame's compressed size to its plain size; above it, the frame is sent
     * uncompressed.
     */
    private static final double MAX_COMPRESSED_RATIO = 0.9;

    private record FullTableKey(
            TableId table, Set<MethodId> methods, boolean withAddresses, boolean compressed) {}

    private final Map<NodeId, ListedNode> nodes;
    private final Map<MethodId, Frame.Tries> retryConditions;
    private final Map<TableId, byte[]> deltas = new HashMap<>();
    private final Map<TableId, byte[]> admissionLimits = new HashMap<>();
    private final Map<FullTableKey, byte[]> fullTables = new HashMap<>();

    RoundFrames(Map<NodeId, ListedNode> nodes, Map<MethodId, Frame.Tries> retryConditions) {
        this.nodes = nodes;
        this.retryConditions = retryConditions;
    }

    /** Returns the frame with a node's address. */
    static byte[] nodeAddress(ListedNode node) {
        return FrameWriter.bytes(new Frame.Node(node.id(), node.host(), node.port(), node.zone()));
    }

    /** Returns the frame of a table's delta; a table has at most one delta in a round. */
    byte[] delta(Frame.Lines delta) {
        return deltas.computeIfAbsent(delta.table(), table -> FrameWriter.bytes(delta));
    }

    /** Returns the frame of a table's changed admission limits. */
    byte[] admissionLimits(TableId table, Map<MethodId, Double> changed) {
        return admissionLimits.computeIfAbsent(
                table, key -> FrameWriter.bytes(new Frame.Levels(key, levels(changed))));
    }

    /**
     * Returns the frames of a full table.
     *
     * @param withAddresses whether the addresses of its nodes precede the table, for a stream that
     *     has none of them
     * @param compressed whether the stream accepts compressed frames
     */
    byte[] fullTable(
            VersionHistory history,
            Set<MethodId> methods,
            boolean withAddresses,
            boolean compressed) {
        TableId table = history.current().table();
        return fullTables.computeIfAbsent(
                new FullTableKey(
                        table,
                        methods,
                        withAddresses,
                        compressed && FrameCompression.isAvailable()),
                key -> encode(history, key));
    }

    private byte[] encode(VersionHistory history, FullTableKey key) {
        byte[] frames = encodePlain(history, key);
        if (!key.compressed
                || frames.length < MIN_COMPRESSED_BYTES
                || frames.length > FrameReader.MAX_BYTES_FROM_CONTROLLER) {
            return frames;
        }
        byte[] compressed = FrameWriter.packed(frames);
        return compressed.length <= MAX_COMPRESSED_RATIO * frames.length ? compressed : frames;
    }

    private byte[] encodePlain(VersionHistory history, FullTableKey key) {
        TableVersion version = history.current();
        TreeMap<NodeId, Double> weights = new TreeMap<>(version.entries());
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        if (key.withAddresses) {
            weights.keySet().stream()
                    .filter(nodes::containsKey)
                    .forEach(id -> frames.writeBytes(nodeAddress(nodes.get(id))));
        }
        List<Frame.Line> entries = new ArrayList<>(weights.size());
        weights.forEach((node, weight) -> entries.add(new Frame.Line(node, weight)));
        frames.writeBytes(
                FrameWriter.bytes(
                        new Frame.Bind(
                                key.table,
                                version.number(),
                                version.digest(),
                                List.copyOf(key.methods),
                                entries,
                                levels(history.admissionLimits()))));
        return frames.toByteArray();
    }

    private List<Frame.Level> levels(Map<MethodId, Double> limits) {
        List<Frame.Level> levels = new ArrayList<>(limits.size());
        limits.forEach(
                (method, admitted) ->
                        levels.add(
                                new Frame.Level(
                                        method,
                                        admitted,
                                        retryConditions.getOrDefault(
                                                method, Frame.Tries.AFTER_PROOF))));
        return levels;
    }
}
