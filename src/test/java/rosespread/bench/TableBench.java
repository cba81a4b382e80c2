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
import rosespread.validation.TableChangeValidator;

/**
 * What a change of three lines costs by the size of its table, and what a whole table costs beside
 * it. Run as docs/results.md says; no part of the build.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class TableBench {
    private static final int CHANGED = 3;

    @Param({"100", "1000", "10000"})
    private int nodes;

    private final List<NodeId> ids = new ArrayList<>();
    private final Map<NodeId, Double> lines = new TreeMap<>();
    private final Map<NodeId, Double> delta = new TreeMap<>();
    private final Map<NodeId, TableChangeValidator.NodeFact> facts = new TreeMap<>();
    private VersionHistory history;
    private TableVersion parent;
    private Frame.Lines deltaFrame;
    private Frame.Bind wholeFrame;
    private byte[] whole;
    private final Map<NodeId, Double> out = new TreeMap<>();
    private final Map<NodeId, Double> wanted = new TreeMap<>();
    private final TableChangeValidator.AcceptedTotals standing = new TableChangeValidator.AcceptedTotals();
    private TableChangeValidator gate;
    private int turn;

    @Setup
    public void fill() {
        for (int i = 0; i < nodes; i++) {
            NodeId id = ListedNode.id("node-" + i, "127.0.0.1", 8000 + i);
            ids.add(id);
            lines.put(id, 1 + i % 7 / 7.0);
            facts.put(id, new TableChangeValidator.NodeFact(NodeState.READY, 1, true));
        }
        out.putAll(lines);
        wanted.putAll(lines);
        gate = new TableChangeValidator();
        history = new VersionHistory(new TableId(1), 0);
        parent = history.commit(lines, TableVersion.Cause.MODULE, 0);
        change();
        history.commit(delta, TableVersion.Cause.MODULE, 1);
        deltaFrame = new Frame.Lines(new TableId(1), 1, 2, history.current().digest(), all(delta));
        wholeFrame =
                new Frame.Bind(
                        new TableId(1),
                        2,
                        history.current().digest(),
                        List.of(new MethodId(0)),
                        all(lines),
                        List.of());
        whole = FrameWriter.bytes(wholeFrame);
    }

    private static List<Frame.Line> all(Map<NodeId, Double> lines) {
        List<Frame.Line> all = new ArrayList<>();
        lines.forEach((node, weight) -> all.add(new Frame.Line(node, weight)));
        return all;
    }

    private void change() {
        delta.clear();
        for (int i = 0; i < CHANGED; i++) {
            turn++;
            delta.put(ids.get(turn * 37 % nodes), 1 + turn % 1000 / 1000.0);
        }
    }

    /** Commits a change of three lines and digests it. */
    @Benchmark
    public TableVersion commit() {
        change();
        return parent.with(delta, TableVersion.Cause.MODULE, turn);
    }

    /** The difference of two versions that lie apart by one. */
    @Benchmark
    public Object diff() {
        return history.difference(1, 2);
    }

    /** The digest of a whole table, as a proxy works it out once. */
    @Benchmark
    public long digestOfAllLines() {
        return TableDigest.of(lines);
    }

    @Benchmark
    public byte[] encodeDelta() {
        return FrameWriter.bytes(deltaFrame);
    }

    @Benchmark
    public byte[] encodeWhole() {
        return FrameWriter.bytes(wholeFrame);
    }

    @Benchmark
    public byte[] packWhole() {
        return FrameWriter.packed(whole);
    }

    /** The gate's look at a whole table, as after a change of the list. */
    @Benchmark
    public Object judgeWhole() {
        return gate.validate(
                lines,
                wanted,
                new TableChangeValidator.ValidationContext(
                        facts, 1, false, Double.POSITIVE_INFINITY));
    }

    /** The gate's look at a change of three lines. */
    @Benchmark
    public Object judge() {
        change();
        wanted.putAll(delta);
        Object verdict =
                gate.validate(
                        standing,
                        out,
                        wanted,
                        delta,
                        new TableChangeValidator.ValidationContext(
                                facts, 1, false, Double.POSITIVE_INFINITY));
        out.putAll(delta);
        return verdict;
    }
}
