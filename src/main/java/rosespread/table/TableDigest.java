package rosespread.table;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Map;
import rosespread.api.NodeId;

/**
 * A digest over a table's lines: the sum, modulo 2 to the 64, of each line's XXH3 (64 bits, seed 0)
 * over its node and the bits of its weight, 16 bytes little-endian. A sum does not depend on order,
 * so a changed line costs two hashes whatever the table's size. It guards against loss and
 * mistakes, not against forgery.
 */
public final class TableDigest {
    private TableDigest() {}

    public static long of(NodeId node, double weight) {
        return Hashing.xxh3_64()
                .hashStream()
                .putLong(node.value())
                .putLong(Double.doubleToLongBits(weight))
                .getAsLong();
    }

    public static long of(Map<NodeId, Double> lines) {
        long sum = 0;
        for (Map.Entry<NodeId, Double> line : lines.entrySet()) {
            sum += of(line.getKey(), line.getValue());
        }
        return sum;
    }
}
