package rosespread.channel;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import rosespread.api.MethodId;

/** Writes frames; a frame that goes to several proxies is written once and its bytes are shared. */
public final class FrameWriter {
    private FrameWriter() {}

    private interface Body {
        void to(DataOutputStream out) throws IOException;
    }

    /** Whole frames, one after another, as one that holds them packed. */
    public static byte[] packed(byte[] frames) {
        byte[] packed = FrameCompression.pack(frames);
        return frame(
                Kind.PACKED,
                out -> {
                    out.writeInt(frames.length);
                    out.write(packed);
                });
    }

    public static byte[] bytes(Frame frame) {
        if (frame instanceof Frame.Hello f) {
            return frame(
                    Kind.HELLO,
                    out -> {
                        out.writeShort(f.version());
                        text(out, f.name());
                        out.writeByte(f.methods().size());
                        for (String method : f.methods()) {
                            text(out, method);
                        }
                    });
        } else if (frame instanceof Frame.Join f) {
            return frame(
                    Kind.JOIN,
                    out -> {
                        text(out, f.proxy());
                        text(out, f.zone());
                        out.writeDouble(f.rate());
                        out.writeBoolean(f.unpacks());
                        out.writeShort(f.held().size());
                        for (Frame.Holding held : f.held()) {
                            out.writeShort(held.table().value());
                            out.writeLong(held.version());
                        }
                    });
        } else if (frame instanceof Frame.Node f) {
            return frame(
                    Kind.NODE,
                    out -> {
                        out.writeLong(f.node().value());
                        text(out, f.host());
                        out.writeShort(f.port());
                        text(out, f.zone());
                    });
        } else if (frame instanceof Frame.Bind f) {
            return frame(
                    Kind.BIND,
                    out -> {
                        out.writeShort(f.table().value());
                        out.writeLong(f.version());
                        out.writeLong(f.digest());
                        int bits = 0;
                        for (MethodId method : f.methods()) {
                            bits |= 1 << method.value();
                        }
                        out.writeInt(bits);
                        lines(out, f.lines());
                        levels(out, f.levels());
                    });
        } else if (frame instanceof Frame.Lines f) {
            return frame(
                    Kind.LINES,
                    out -> {
                        out.writeShort(f.table().value());
                        out.writeLong(f.from());
                        out.writeLong(f.to());
                        out.writeLong(f.digest());
                        lines(out, f.lines());
                    });
        } else if (frame instanceof Frame.Missed f) {
            return frame(
                    Kind.MISSED,
                    out -> {
                        out.writeShort(f.table().value());
                        out.writeLong(f.held());
                    });
        } else if (frame instanceof Frame.Withdraw f) {
            return frame(
                    Kind.WITHDRAW,
                    out -> {
                        out.writeLong(f.node().value());
                        out.writeBoolean(f.out());
                    });
        } else if (frame instanceof Frame.Levels f) {
            return frame(
                    Kind.LEVELS,
                    out -> {
                        out.writeShort(f.table().value());
                        levels(out, f.levels());
                    });
        } else if (frame instanceof Frame.Mark f) {
            return frame(
                    Kind.MARK,
                    out -> {
                        out.writeLong(f.number());
                        out.writeLong(f.round());
                        out.writeInt(f.lines());
                        out.writeInt(f.waiting());
                        out.writeLong(f.queuedMicros());
                    });
        } else if (frame instanceof Frame.Installed f) {
            return frame(Kind.INSTALLED, out -> out.writeLong(f.number()));
        } else if (frame instanceof Frame.Sums f) {
            return frame(
                    Kind.SUMS,
                    out -> {
                        out.writeLong(f.coversMicros());
                        out.writeShort(f.sums().size());
                        for (Frame.Sum sum : f.sums()) {
                            out.writeLong(sum.node().value());
                            out.writeInt(sum.tries());
                            out.writeInt(sum.unanswered());
                            out.writeDouble(sum.latency());
                            out.writeDouble(sum.utilization());
                        }
                    });
        } else if (frame instanceof Frame.Offered f) {
            return frame(
                    Kind.OFFERED,
                    out -> {
                        out.writeLong(f.coversMicros());
                        out.writeByte(f.counts().size());
                        for (Frame.Count count : f.counts()) {
                            out.writeByte(count.method().value());
                            out.writeInt(count.came());
                        }
                    });
        } else if (frame instanceof Frame.KeepAlive f) {
            return frame(
                    Kind.KEEP_ALIVE,
                    out -> {
                        out.writeLong(f.number());
                        out.writeBoolean(f.answer());
                    });
        } else if (frame instanceof Frame.Close f) {
            return frame(
                    Kind.CLOSE,
                    out -> {
                        out.writeByte(f.reason().ordinal());
                        text(out, f.text());
                    });
        }
        throw new IllegalArgumentException(frame.toString());
    }

    private static void lines(DataOutputStream out, List<Frame.Line> lines) throws IOException {
        out.writeInt(lines.size());
        for (Frame.Line line : lines) {
            out.writeLong(line.node().value());
            out.writeDouble(line.weight());
        }
    }

    private static void levels(DataOutputStream out, List<Frame.Level> levels) throws IOException {
        out.writeByte(levels.size());
        for (Frame.Level level : levels) {
            out.writeByte(level.method().value());
            out.writeDouble(level.admitted());
            out.writeByte(level.tries().ordinal());
        }
    }

    /**
     * A text too long for its length byte is cut at a whole character; only free texts can be that
     * long.
     */
    private static void text(DataOutputStream out, String text) throws IOException {
        String cut = text;
        byte[] bytes = cut.getBytes(StandardCharsets.UTF_8);
        while (bytes.length > Kind.TEXT_MOST) {
            cut = cut.substring(0, cut.offsetByCodePoints(cut.length(), -1));
            bytes = cut.getBytes(StandardCharsets.UTF_8);
        }
        out.writeByte(bytes.length);
        out.write(bytes);
    }

    private static byte[] frame(Kind kind, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(0);
            out.writeByte(kind.code);
            out.writeByte(0);
            body.to(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] all = bytes.toByteArray();
        int length = all.length - Integer.BYTES;
        for (int i = 0; i < Integer.BYTES; i++) {
            all[i] = (byte) (length >>> 8 * (Integer.BYTES - 1 - i));
        }
        return all;
    }
}
