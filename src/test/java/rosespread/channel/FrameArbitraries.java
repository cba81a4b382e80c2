package rosespread.channel;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/** Generates frames within the protocol's limits, of all types but the packed one. */
final class FrameArbitraries {
    private FrameArbitraries() {}

    static Arbitrary<Frame> frames() {
        return Arbitraries.oneOf(
                hello(),
                join(),
                node(),
                bind(),
                lines(),
                Combinators.combine(tableId(), Arbitraries.longs()).as(Frame.Missed::new),
                Combinators.combine(nodeId(), flag()).as(Frame.Withdraw::new),
                Combinators.combine(tableId(), levelList()).as(Frame.Levels::new),
                mark(),
                Arbitraries.longs().map(Frame.Installed::new),
                sums(),
                offered(),
                Combinators.combine(Arbitraries.longs(), flag()).as(Frame.KeepAlive::new),
                Combinators.combine(Arbitraries.of(Frame.Reason.class), text())
                        .as(Frame.Close::new));
    }

    private static Arbitrary<Frame.Hello> hello() {
        return Combinators.combine(unsignedShort(), text(), name().list().ofMaxSize(32))
                .as(Frame.Hello::new);
    }

    private static Arbitrary<Frame.Join> join() {
        Arbitrary<Frame.Holding> holding =
                Combinators.combine(tableId(), Arbitraries.longs().greaterOrEqual(0))
                        .as(Frame.Holding::new);
        return Combinators.combine(
                        name(), name(), nonNegative(), flag(), holding.list().ofMaxSize(40))
                .as(Frame.Join::new);
    }

    private static Arbitrary<Frame.Node> node() {
        return Combinators.combine(nodeId(), name(), unsignedShort(), text()).as(Frame.Node::new);
    }

    private static Arbitrary<Frame.Bind> bind() {
        Arbitrary<List<MethodId>> methods =
                methodId().set().map(set -> set.stream().sorted().toList());
        return Combinators.combine(
                        tableId(),
                        Arbitraries.longs(),
                        Arbitraries.longs(),
                        methods,
                        lineList(),
                        levelList())
                .as(Frame.Bind::new);
    }

    private static Arbitrary<Frame.Lines> lines() {
        return Combinators.combine(
                        tableId(),
                        Arbitraries.longs(),
                        Arbitraries.longs(),
                        Arbitraries.longs(),
                        lineList())
                .as(Frame.Lines::new);
    }

    private static Arbitrary<Frame.Mark> mark() {
        return Combinators.combine(
                        Arbitraries.longs(), Arbitraries.longs(), count(), count(), micros())
                .as(Frame.Mark::new);
    }

    private static Arbitrary<Frame.Sums> sums() {
        Arbitrary<Frame.Sum> sum =
                Combinators.combine(nodeId(), count(), nonNegative())
                        .as(
                                (node, tries, latency) ->
                                        new Frame.Sum(node, tries, tries / 2, latency, Double.NaN));
        return Combinators.combine(micros(), sum.list().ofMaxSize(20)).as(Frame.Sums::new);
    }

    private static Arbitrary<Frame.Offered> offered() {
        Arbitrary<Frame.Count> count =
                Combinators.combine(methodId(), count()).as(Frame.Count::new);
        return Combinators.combine(micros(), count.list().ofMaxSize(32)).as(Frame.Offered::new);
    }

    private static Arbitrary<List<Frame.Line>> lineList() {
        return Combinators.combine(nodeId(), nonNegative())
                .as(Frame.Line::new)
                .list()
                .ofMaxSize(30);
    }

    private static Arbitrary<List<Frame.Level>> levelList() {
        return Combinators.combine(methodId(), nonNegative(), Arbitraries.of(Frame.Tries.class))
                .as(Frame.Level::new)
                .list()
                .ofMaxSize(8);
    }

    private static Arbitrary<String> name() {
        return Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(20);
    }

    private static Arbitrary<String> text() {
        return Arbitraries.strings().ofMaxLength(40);
    }

    private static Arbitrary<NodeId> nodeId() {
        return Arbitraries.longs().map(NodeId::new);
    }

    private static Arbitrary<TableId> tableId() {
        return unsignedShort().map(TableId::new);
    }

    private static Arbitrary<MethodId> methodId() {
        return Arbitraries.integers().between(0, 31).map(MethodId::new);
    }

    private static Arbitrary<Integer> unsignedShort() {
        return Arbitraries.integers().between(0, 65_535);
    }

    private static Arbitrary<Integer> count() {
        return Arbitraries.integers().between(0, Integer.MAX_VALUE);
    }

    private static Arbitrary<Double> nonNegative() {
        return Arbitraries.doubles().greaterOrEqual(0);
    }

    private static Arbitrary<Long> micros() {
        return Arbitraries.longs().between(0, Long.MAX_VALUE / 1000);
    }

    private static Arbitrary<Boolean> flag() {
        return Arbitraries.of(true, false);
    }
}
