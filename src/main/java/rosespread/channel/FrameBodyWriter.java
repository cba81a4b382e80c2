package rosespread.channel;

import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import rosespread.api.MethodId;

/** Writes the body of each frame, field by field in the order of docs/channel.md. */
final class FrameBodyWriter {
    private FrameBodyWriter() {}

    static void hello(DataOutputStream out, Frame.Hello hello) throws IOException {
        out.writeShort(hello.version());
        text(out, hello.name());
        out.writeByte(hello.methods().size());
        for (String method : hello.methods()) {
            text(out, method);
        }
    }

    static void join(DataOutputStream out, Frame.Join join) throws IOException {
        text(out, join.proxy());
        text(out, join.zone());
        out.writeDouble(join.rate());
        out.writeBoolean(join.unpacks());
        out.writeShort(join.held().size());
        for (Frame.Holding holding : join.held()) {
            out.writeShort(holding.table().value());
            out.writeLong(holding.version());
        }
    }

    static void node(DataOutputStream out, Frame.Node node) throws IOException {
        out.writeLong(node.node().value());
        text(out, node.host());
        out.writeShort(node.port());
        text(out, node.zone());
    }

    static void bind(DataOutputStream out, Frame.Bind bind) throws IOException {
        out.writeShort(bind.table().value());
        out.writeLong(bind.version());
        out.writeLong(bind.digest());
        methodSet(out, bind.methods());
        lineList(out, bind.lines());
        levelList(out, bind.levels());
    }

    static void lines(DataOutputStream out, Frame.Lines lines) throws IOException {
        out.writeShort(lines.table().value());
        out.writeLong(lines.from());
        out.writeLong(lines.to());
        out.writeLong(lines.digest());
        lineList(out, lines.lines());
    }

    static void missed(DataOutputStream out, Frame.Missed missed) throws IOException {
        out.writeShort(missed.table().value());
        out.writeLong(missed.held());
    }

    static void withdraw(DataOutputStream out, Frame.Withdraw withdraw) throws IOException {
        out.writeLong(withdraw.node().value());
        out.writeBoolean(withdraw.out());
    }

    static void levels(DataOutputStream out, Frame.Levels levels) throws IOException {
        out.writeShort(levels.table().value());
        levelList(out, levels.levels());
    }

    static void mark(DataOutputStream out, Frame.Mark mark) throws IOException {
        out.writeLong(mark.number());
        out.writeLong(mark.round());
        out.writeInt(mark.lines());
        out.writeInt(mark.waiting());
        out.writeLong(mark.queuedMicros());
    }

    static void sums(DataOutputStream out, Frame.Sums sums) throws IOException {
        out.writeLong(sums.coversMicros());
        out.writeShort(sums.sums().size());
        for (Frame.Sum sum : sums.sums()) {
            out.writeLong(sum.node().value());
            out.writeInt(sum.tries());
            out.writeInt(sum.unanswered());
            out.writeDouble(sum.latency());
            out.writeDouble(sum.utilization());
        }
    }

    static void offered(DataOutputStream out, Frame.Offered offered) throws IOException {
        out.writeLong(offered.coversMicros());
        out.writeByte(offered.counts().size());
        for (Frame.Count count : offered.counts()) {
            out.writeByte(count.method().value());
            out.writeInt(count.rpcs());
        }
    }

    static void keepAlive(DataOutputStream out, Frame.KeepAlive keepAlive) throws IOException {
        out.writeLong(keepAlive.number());
        out.writeBoolean(keepAlive.answer());
    }

    static void close(DataOutputStream out, Frame.Close close) throws IOException {
        out.writeByte(close.reason().ordinal());
        text(out, close.text());
    }

    private static void methodSet(DataOutputStream out, List<MethodId> methods) throws IOException {
        int bits = 0;
        for (MethodId method : methods) {
            bits |= 1 << method.value();
        }
        out.writeInt(bits);
    }

    private static void lineList(DataOutputStream out, List<Frame.Line> lines) throws IOException {
        out.writeInt(lines.size());
        for (Frame.Line line : lines) {
            out.writeLong(line.node().value());
            out.writeDouble(line.weight());
        }
    }

    private static void levelList(DataOutputStream out, List<Frame.Level> levels)
            throws IOException {
        out.writeByte(levels.size());
        for (Frame.Level level : levels) {
            out.writeByte(level.method().value());
            out.writeDouble(level.admitted());
            out.writeByte(level.tries().ordinal());
        }
    }

    /**
     * Writes a text, truncated after a whole character if too long; only free text can be too long.
     */
    private static void text(DataOutputStream out, String text) throws IOException {
        String fitting = text;
        byte[] bytes = fitting.getBytes(StandardCharsets.UTF_8);
        while (bytes.length > FrameLimits.MAX_TEXT_BYTES) {
            fitting = fitting.substring(0, fitting.offsetByCodePoints(fitting.length(), -1));
            bytes = fitting.getBytes(StandardCharsets.UTF_8);
        }
        out.writeByte(bytes.length);
        out.write(bytes);
    }
}
