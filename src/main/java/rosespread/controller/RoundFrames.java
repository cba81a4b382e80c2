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
import rosespread.channel.FrameReader;
import rosespread.channel.FrameWriter;
import rosespread.channel.FrameCompression;
import rosespread.discovery.ListedNode;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;

/** The frames of one round, each written once however many proxies it goes to. */
final class RoundFrames {
    /**
     * Below this frames are not worth packing, nor if less than a part is saved: weights hardly
     * pack.
     */
    private static final int PACKED_FROM = 1024;

    private static final double WORTH = 0.9;

    private record Whole(TableId table, Set<MethodId> methods, boolean named, boolean packed) {}

    private final Map<NodeId, ListedNode> nodes;
    private final Map<MethodId, Frame.Tries> tries;
    private final Map<TableId, byte[]> lines = new HashMap<>();
    private final Map<TableId, byte[]> levels = new HashMap<>();
    private final Map<Whole, byte[]> wholes = new HashMap<>();

    RoundFrames(Map<NodeId, ListedNode> nodes, Map<MethodId, Frame.Tries> tries) {
        this.nodes = nodes;
        this.tries = tries;
    }

    static byte[] node(ListedNode node) {
        return FrameWriter.bytes(new Frame.Node(node.id(), node.host(), node.port(), node.zone()));
    }

    byte[] lines(Frame.Lines delta) {
        return lines.computeIfAbsent(delta.table(), t -> FrameWriter.bytes(delta));
    }

    byte[] levels(TableId table, Map<MethodId, Double> ordered) {
        return levels.computeIfAbsent(
                table, t -> FrameWriter.bytes(new Frame.Levels(table, levels(ordered))));
    }

    /**
     * @param named whether the nodes are named before their lines, for a stream that knows none of
     *     them
     */
    byte[] bind(VersionHistory history, Set<MethodId> methods, boolean named, boolean packed) {
        TableId table = history.current().table();
        return wholes.computeIfAbsent(
                new Whole(table, methods, named, packed && FrameCompression.isAvailable()),
                key -> {
                    byte[] frames = whole(history, key);
                    if (!key.packed
                            || frames.length < PACKED_FROM
                            || frames.length > FrameReader.MAX_BYTES_FROM_CONTROLLER) {
                        return frames;
                    }
                    byte[] smaller = FrameWriter.packed(frames);
                    return smaller.length <= WORTH * frames.length ? smaller : frames;
                });
    }

    private byte[] whole(VersionHistory history, Whole key) {
        TableVersion version = history.current();
        TreeMap<NodeId, Double> sorted = new TreeMap<>(version.lines());
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        if (key.named) {
            sorted.keySet().stream()
                    .filter(nodes::containsKey)
                    .forEach(id -> frames.writeBytes(node(nodes.get(id))));
        }
        List<Frame.Line> all = new ArrayList<>(sorted.size());
        sorted.forEach((node, weight) -> all.add(new Frame.Line(node, weight)));
        frames.writeBytes(
                FrameWriter.bytes(
                        new Frame.Bind(
                                key.table,
                                version.number(),
                                version.digest(),
                                List.copyOf(key.methods),
                                all,
                                levels(history.admissionLimits()))));
        return frames.toByteArray();
    }

    private List<Frame.Level> levels(Map<MethodId, Double> ordered) {
        List<Frame.Level> all = new ArrayList<>(ordered.size());
        ordered.forEach(
                (method, admitted) ->
                        all.add(
                                new Frame.Level(
                                        method,
                                        admitted,
                                        tries.getOrDefault(method, Frame.Tries.AFTER_PROOF))));
        return all;
    }
}
