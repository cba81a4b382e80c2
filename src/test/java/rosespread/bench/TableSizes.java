package rosespread.bench;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.discovery.ListedNode;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;

/**
 * Prints the bytes on the wire and the bytes of memory per version, by table size. The bytes on the
 * wire are exact; memory is measured between two garbage collections.
 */
public final class TableSizes {
    private static final TableId TABLE = new TableId(1);
    private static final int[] NODES = {100, 1_000, 10_000};
    private static final int ZONES = 3;
    private static final int PORT = 8080;
    private static final int VERSIONS = 256;
    private static final int CHANGED_ENTRIES = 3;
    private static final int GARBAGE_COLLECTIONS = 4;

    private TableSizes() {}

    public static void main(String[] args) {
        System.out.println(
                "nodes | delta | full table | compressed | with addresses | compressed"
                        + " | bytes per version");
        for (int nodes : NODES) {
            System.out.println(row(nodes));
        }
    }

    private static String row(int nodes) {
        Random random = new Random(1);
        Map<NodeId, Double> weights = new TreeMap<>();
        ByteArrayOutputStream addressesAndTable = new ByteArrayOutputStream();
        for (int i = 0; i < nodes; i++) {
            String host = "10.0." + i / 250 + "." + i % 250;
            NodeId id = ListedNode.id("node-" + i, host, PORT);
            weights.put(id, 0.5 + random.nextDouble());
            addressesAndTable.writeBytes(
                    FrameWriter.bytes(new Frame.Node(id, host, PORT, "zone-" + i % ZONES)));
        }
        List<Frame.Line> entries = new ArrayList<>();
        weights.forEach((node, weight) -> entries.add(new Frame.Line(node, weight)));
        byte[] table = fullUpdate(entries);
        addressesAndTable.writeBytes(table);
        return String.format(
                "%d | %d | %d | %d | %d | %d | %d",
                nodes,
                deltaUpdate(entries).length,
                table.length,
                FrameWriter.packed(table).length,
                addressesAndTable.size(),
                FrameWriter.packed(addressesAndTable.toByteArray()).length,
                bytesPerVersion(weights, random));
    }

    private static byte[] fullUpdate(List<Frame.Line> entries) {
        return FrameWriter.bytes(
                new Frame.Bind(TABLE, 1, 1, List.of(new MethodId(0)), entries, List.of()));
    }

    private static byte[] deltaUpdate(List<Frame.Line> entries) {
        return FrameWriter.bytes(
                new Frame.Lines(TABLE, 1, 2, 1, entries.subList(0, CHANGED_ENTRIES)));
    }

    private static long bytesPerVersion(Map<NodeId, Double> weights, Random random) {
        List<NodeId> ids = new ArrayList<>(weights.keySet());
        VersionHistory history = new VersionHistory(TABLE, 0);
        history.commit(weights, TableVersion.Cause.MODULE, 0);
        long before = usedBytes();
        for (int i = 1; i < VERSIONS; i++) {
            Map<NodeId, Double> delta = new TreeMap<>();
            for (int k = 0; k < CHANGED_ENTRIES; k++) {
                delta.put(ids.get(random.nextInt(ids.size())), random.nextDouble());
            }
            history.commit(delta, TableVersion.Cause.MODULE, 0);
        }
        long bytes = (usedBytes() - before) / (VERSIONS - 1);
        if (history.versions().size() != VERSIONS) {
            throw new IllegalStateException(
                    "expected "
                            + VERSIONS
                            + " stored versions, found "
                            + history.versions().size());
        }
        return bytes;
    }

    private static long usedBytes() {
        for (int i = 0; i < GARBAGE_COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
