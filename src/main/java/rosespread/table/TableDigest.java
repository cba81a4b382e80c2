package rosespread.table;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Map;
import rosespread.api.NodeId;

/**
 * A digest over a table's weight entries: the sum, modulo 2 to the 64, of each entry's XXH3 (64
 * bits, seed 0) over its node and the bits of its weight, 16 bytes little-endian. A sum does not
 * depend on order, so a changed entry costs two hashes regardless of the table's size. The digest
 * detects lost and wrong entries, but not forged ones.
 *
 * <p>Digests are stored and sent to proxies. Stateless and therefore thread-safe.
 */
public final class TableDigest {
    private TableDigest() {}

    /** Returns the digest of one entry. */
    public static long of(NodeId node, double weight) {
        return Hashing.xxh3_64()
                .hashStream()
                .putLong(node.value())
                .putLong(Double.doubleToLongBits(weight))
                .getAsLong();
    }

    /** Returns the digest of all entries of a table; 0 if there are none. */
    public static long of(Map<NodeId, Double> entries) {
        long sum = 0;
        for (Map.Entry<NodeId, Double> entry : entries.entrySet()) {
            sum += of(entry.getKey(), entry.getValue());
        }
        return sum;
    }
}
