package rosespread.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * Compares the bytes of one frame of each type with recorded hexadecimal digits. The bytes of the
 * packed frame also depend on the version of the Zstandard library.
 */
class FrameBytesTest {
    private static final NodeId NODE = new NodeId(0x0102030405060708L);
    private static final TableId TABLE = new TableId(0x0a0b);
    private static final List<Frame.Line> LINES =
            List.of(new Frame.Line(NODE, 1.5), new Frame.Line(new NodeId(-1), 0));
    private static final List<Frame.Level> LEVELS =
            List.of(
                    new Frame.Level(new MethodId(0), 0.25, Frame.Tries.NONE),
                    new Frame.Level(new MethodId(1), 2, Frame.Tries.AFTER_PROOF),
                    new Frame.Level(
                            new MethodId(31),
                            Double.POSITIVE_INFINITY,
                            Frame.Tries.AFTER_ANY_FAILURE));

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static Map<String, Frame> frames() {
        Map<String, Frame> all = new TreeMap<>();
        all.put("hello", new Frame.Hello(Frame.VERSION, "c-1", List.of("quote", "b\u00fc")));
        all.put(
                "join",
                new Frame.Join("p", "a", 5.5, true, List.of(new Frame.Holding(TABLE, 1024))));
        all.put("join of a fresh proxy", new Frame.Join("p", "a", 1));
        all.put("node", new Frame.Node(NODE, "127.0.0.1", 40_000, "b"));
        all.put(
                "bind",
                new Frame.Bind(
                        TABLE,
                        3,
                        0x1122334455667788L,
                        List.of(new MethodId(0), new MethodId(31)),
                        LINES,
                        LEVELS));
        all.put("lines", new Frame.Lines(TABLE, 3, 4, -2, LINES));
        all.put("missed", new Frame.Missed(TABLE, 7));
        all.put("withdraw", new Frame.Withdraw(NODE, true));
        all.put("withdraw, back", new Frame.Withdraw(NODE, false));
        all.put("levels", new Frame.Levels(TABLE, LEVELS));
        all.put("mark", new Frame.Mark(5, 4, 12, 120, 99_000));
        all.put("installed", new Frame.Installed(5));
        all.put(
                "sums",
                new Frame.Sums(1_000_000, List.of(new Frame.Sum(NODE, 9, 2, 0.125, Double.NaN))));
        all.put(
                "offered",
                new Frame.Offered(500_000, List.of(new Frame.Count(new MethodId(1), 77))));
        all.put("keep alive", new Frame.KeepAlive(8, true));
        for (Frame.Reason reason : Frame.Reason.values()) {
            all.put("close " + reason.ordinal(), new Frame.Close(reason, "r"));
        }
        return all;
    }

    @Test
    void encodesOneFrameOfEachType() {
        StringBuilder all = new StringBuilder();
        frames().forEach(
                        (name, frame) ->
                                all.append(name)
                                        .append(": ")
                                        .append(hex(FrameWriter.bytes(frame)))
                                        .append('\n'));
        assertEquals(
                """
                bind: 0000005b04000a0b00000000000000031122334455667788800000010000000201020304050607083ff8000\
                000000000ffffffffffffffff000000000000000003003fd000000000000000014000000000000000011f7ff00000\
                0000000002
                close 0: 000000050d00000172
                close 1: 000000050d00010172
                close 2: 000000050d00020172
                close 3: 000000050d00030172
                close 4: 000000050d00040172
                close 5: 000000050d00050172
                close 6: 000000050d00060172
                close 7: 000000050d00070172
                close 8: 000000050d00080172
                hello: 000000130100000203632d31020571756f74650362c3bc
                installed: 0000000a09000000000000000005
                join: 0000001b02000170016140160000000000000100010a0b0000000000000400
                join of a fresh proxy: 000000110200017001613ff0000000000000000000
                keep alive: 0000000b0c00000000000000000801
                levels: 0000002307000a0b03003fd000000000000000014000000000000000011f7ff000000000000002
                lines: 0000004005000a0b00000000000000030000000000000004fffffffffffffffe0000000201020304050607\
                083ff8000000000000ffffffffffffffff0000000000000000
                mark: 000000220800000000000000000500000000000000040000000c0000007800000000000182b8
                missed: 0000000c0e000a0b0000000000000007
                node: 0000001803000102030405060708093132372e302e302e319c400162
                offered: 000000100b00000000000007a12001010000004d
                sums: 0000002c0a0000000000000f42400001010203040506070800000009000000023fc00000000000007ff8000\
                000000000
                withdraw: 0000000b0600010203040506070801
                withdraw, back: 0000000b0600010203040506070800
                """,
                all.toString());
    }

    @Test
    void truncatesLongText() {
        String hex =
                hex(FrameWriter.bytes(new Frame.Close(Frame.Reason.FULL, "\u00e9".repeat(200))));
        assertEquals("000001020d0008fe" + "c3a9".repeat(127), hex);
    }

    @Test
    void encodesPackedFrame() {
        byte[] frames = FrameWriter.bytes(new Frame.Hello(1, "abcd".repeat(40), List.of()));
        assertEquals(
                "000000240f00000000aa28b52ffd20aaad000070"
                        + "000000a601000001a0616263640001009929f705",
                hex(FrameWriter.packed(frames)));
    }
}
