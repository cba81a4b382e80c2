package rosespread.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.discovery.ListedNode;
import rosespread.table.TableDigest;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;
import rosespread.validation.AcceptedTotals;
import rosespread.validation.TableChangeValidator;

/**
 * Cost of a change of three weight entries by table size, compared with that of a full table. Run
 * as described in docs/results.md; not part of the build.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class TableBench {
    private static final TableId TABLE = new TableId(1);
    private static final int CHANGED_ENTRIES = 3;

    /** Has no factor in common with the table sizes, so that every node is changed in turn. */
    private static final int NODE_STRIDE = 37;

    @Param({"100", "1000", "10000"})
    private int nodes;

    private final List<NodeId> ids = new ArrayList<>();
    private final Map<NodeId, Double> weights = new TreeMap<>();
    private final Map<NodeId, Double> delta = new TreeMap<>();
    private int changeCount;

    private VersionHistory history;
    private TableVersion firstVersion;
    private Frame.Lines deltaUpdate;
    private Frame.Bind fullUpdate;
    private byte[] encodedFullUpdate;

    private final Map<NodeId, TableChangeValidator.NodeFact> facts = new TreeMap<>();
    private final Map<NodeId, Double> published = new TreeMap<>();
    private final Map<NodeId, Double> desired = new TreeMap<>();
    private final AcceptedTotals acceptedTotals = new AcceptedTotals();
    private TableChangeValidator validator;

    @Setup
    public void fill() {
        fillWeights();
        published.putAll(weights);
        desired.putAll(weights);
        validator = new TableChangeValidator();
        history = new VersionHistory(TABLE, 0);
        firstVersion = history.commit(weights, TableVersion.Cause.MODULE, 0);
        nextDelta();
        history.commit(delta, TableVersion.Cause.MODULE, 1);
        long digest = history.current().digest();
        deltaUpdate = new Frame.Lines(TABLE, 1, 2, digest, entries(delta));
        fullUpdate =
                new Frame.Bind(
                        TABLE, 2, digest, List.of(new MethodId(0)), entries(weights), List.of());
        encodedFullUpdate = FrameWriter.bytes(fullUpdate);
    }

    private void fillWeights() {
        for (int i = 0; i < nodes; i++) {
            NodeId id = ListedNode.id("node-" + i, "127.0.0.1", 8000 + i);
            ids.add(id);
            weights.put(id, 1 + i % 7 / 7.0);
            facts.put(id, new TableChangeValidator.NodeFact(NodeState.READY, 1, true));
        }
    }

    private static List<Frame.Line> entries(Map<NodeId, Double> weights) {
        List<Frame.Line> entries = new ArrayList<>();
        weights.forEach((node, weight) -> entries.add(new Frame.Line(node, weight)));
        return entries;
    }

    private void nextDelta() {
        delta.clear();
        for (int i = 0; i < CHANGED_ENTRIES; i++) {
            changeCount++;
            delta.put(ids.get(changeCount * NODE_STRIDE % nodes), 1 + changeCount % 1000 / 1000.0);
        }
    }

    private TableChangeValidator.ValidationContext context() {
        return new TableChangeValidator.ValidationContext(
                facts, 1, false, Double.POSITIVE_INFINITY);
    }

    /** Commits a change and computes the digest of the new version. */
    @Benchmark
    public TableVersion commit() {
        nextDelta();
        return firstVersion.with(delta, TableVersion.Cause.MODULE, changeCount);
    }

    /** Compares two consecutive versions. */
    @Benchmark
    public Object diff() {
        return history.difference(1, 2);
    }

    /** Computes the digest of a full table, as a proxy does once. */
    @Benchmark
    public long digestOfAllEntries() {
        return TableDigest.of(weights);
    }

    /** Encodes a change as a frame. */
    @Benchmark
    public byte[] encodeDelta() {
        return FrameWriter.bytes(deltaUpdate);
    }

    /** Encodes a full table as a frame. */
    @Benchmark
    public byte[] encodeFullUpdate() {
        return FrameWriter.bytes(fullUpdate);
    }

    /** Compresses the frame of a full table. */
    @Benchmark
    public byte[] compressFullUpdate() {
        return FrameWriter.packed(encodedFullUpdate);
    }

    /** Validates a full table, as after a change of the node list. */
    @Benchmark
    public Object validateFullTable() {
        return validator.validate(weights, desired, context());
    }

    /** Validates a change, as in most rounds. */
    @Benchmark
    public Object validateDelta() {
        nextDelta();
        desired.putAll(delta);
        Object result = validator.validate(acceptedTotals, published, desired, delta, context());
        published.putAll(delta);
        return result;
    }
}
