package rosespread.channel;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * Reads a stream of frames that may be cut at every byte. Holds at most one frame, which grows with
 * the bytes that came and not with the length that was announced; throws nothing but {@link
 * FrameException}.
 */
public final class FrameReader {
    /** Longest frames in bytes that a conductor and a proxy take. */
    public static final int MAX_BYTES_FROM_PROXY = 1 << 20, MAX_BYTES_FROM_CONTROLLER = 1 << 20;

    private static final int HEAD = 4;
    private static final int FIRST_ROOM = 256;

    private final int longest;
    private final int unpackedMost;
    private final Consumer<Frame> out;
    private ByteBuffer held = ByteBuffer.allocate(FIRST_ROOM);
    private int length = -1;
    private long consumed;
    private ByteBuffer body;

    /** Takes no packed frames. */
    public FrameReader(int longest, Consumer<Frame> out) {
        this(longest, 0, out);
    }

    /**
     * @param unpackedMost bytes to which a packed frame may come, 0 if none may come
     */
    public FrameReader(int longest, int unpackedMost, Consumer<Frame> out) {
        this.longest = longest;
        this.unpackedMost = unpackedMost;
        this.out = out;
    }

    /** Bytes kept of a frame that has not come whole. */
    public int held() {
        return held.capacity();
    }

    /** Takes all bytes of the buffer. After an error nothing more may be fed. */
    public void feed(ByteBuffer in) throws FrameException {
        while (in.hasRemaining()) {
            int missing = (length < 0 ? HEAD : length) - held.position();
            move(in, Math.min(missing, in.remaining()));
            if (length < 0 && held.position() == HEAD) {
                length = held.getInt(0);
                if (length < 2 || length > longest) {
                    throw error(
                            Frame.Reason.BAD_FRAME,
                            "a frame of "
                                    + Integer.toUnsignedString(length)
                                    + " bytes; 2 to "
                                    + longest
                                    + " are allowed");
                }
                consumed += HEAD;
                held.clear();
            } else if (length >= 0 && held.position() == length) {
                held.flip();
                body = held;
                take();
                consumed += length;
                length = -1;
                held =
                        held.capacity() > FIRST_ROOM
                                ? ByteBuffer.allocate(FIRST_ROOM)
                                : held.clear();
            }
        }
    }

    private void move(ByteBuffer in, int count) {
        if (held.remaining() < count) {
            int room = Math.max(held.position() + count, Math.min(length, held.capacity() * 2));
            held = ByteBuffer.allocate(room).put(held.flip());
        }
        held.put(in.slice().limit(count));
        in.position(in.position() + count);
    }

    private void take() throws FrameException {
        int code = u8();
        int flags = u8();
        Kind kind = Kind.of(code);
        if (kind == null) {
            if ((flags & Kind.OPTIONAL) == 0) {
                throw error(
                        Frame.Reason.BAD_FRAME,
                        "frame kind " + code + " is unknown and not optional");
            }
            return;
        }
        if (kind == Kind.PACKED) {
            unpack();
            return;
        }
        Frame frame =
                switch (kind) {
                    case PACKED -> throw new IllegalStateException();
                    case HELLO -> new Frame.Hello(u16(), text("name"), names());
                    case JOIN ->
                            new Frame.Join(
                                    name("proxy"),
                                    name("zone"),
                                    measure("rate", false),
                                    flag("unpacks"),
                                    holdings());
                    case NODE -> new Frame.Node(node(), name("host"), u16(), text("zone"));
                    case BIND ->
                            new Frame.Bind(table(), i64(), i64(), methods(), lines(), levels());
                    case LINES -> new Frame.Lines(table(), i64(), i64(), i64(), lines());
                    case MISSED -> new Frame.Missed(table(), i64());
                    case WITHDRAW -> new Frame.Withdraw(node(), flag("out"));
                    case LEVELS -> new Frame.Levels(table(), levels());
                    case MARK ->
                            new Frame.Mark(
                                    i64(), i64(), count("lines"), count("waiting"), span("queued"));
                    case INSTALLED -> new Frame.Installed(i64());
                    case SUMS -> new Frame.Sums(span("covers"), sums());
                    case OFFERED -> new Frame.Offered(span("covers"), counts());
                    case KEEP_ALIVE -> new Frame.KeepAlive(i64(), flag("answer"));
                    case CLOSE -> new Frame.Close(reason(), text("text"));
                };
        if (body.hasRemaining()) {
            throw error(
                    Frame.Reason.BAD_FRAME,
                    kind + " frame has " + body.remaining() + " bytes too many");
        }
        out.accept(frame);
    }

    /**
     * The announced length is believed only up to the bound, and the bytes must come to just that.
     */
    private void unpack() throws FrameException {
        int length = count("unpacked bytes");
        if (length > unpackedMost) {
            throw error(
                    Frame.Reason.BAD_FRAME,
                    unpackedMost == 0
                            ? "a packed frame is not taken here"
                            : "a packed frame of " + length + " bytes; at most " + unpackedMost);
        }
        byte[] packed = new byte[body.remaining()];
        body.get(packed);
        byte[] frames = FrameCompression.unpack(packed, length);
        if (frames == null) {
            throw error(
                    Frame.Reason.BAD_FRAME,
                    "a packed frame does not unpack to " + length + " bytes");
        }
        FrameReader within = new FrameReader(longest, out);
        try {
            within.feed(ByteBuffer.wrap(frames));
        } catch (FrameException e) {
            throw error(Frame.Reason.BAD_FRAME, "in a packed frame: " + e.getMessage());
        }
        if (within.length >= 0 || within.held.position() > 0) {
            throw error(Frame.Reason.BAD_FRAME, "a packed frame ends within a frame");
        }
    }

    private void need(int bytes, String what) throws FrameException {
        if (body.remaining() < bytes) {
            throw error(Frame.Reason.BAD_FRAME, what + " is cut short by the frame's end");
        }
    }

    private int u8() throws FrameException {
        need(1, "a byte");
        return body.get() & 0xFF;
    }

    private int u16() throws FrameException {
        need(Short.BYTES, "a number");
        return body.getShort() & 0xFFFF;
    }

    private long i64() throws FrameException {
        need(Long.BYTES, "a number");
        return body.getLong();
    }

    private int count(String what) throws FrameException {
        need(Integer.BYTES, what);
        int value = body.getInt();
        if (value < 0) {
            throw error(Frame.Reason.BAD_FRAME, what + " " + value + " is negative");
        }
        return value;
    }

    private int entries(int count, int bytesEach, String what) throws FrameException {
        if (count < 0 || count > Kind.ENTRIES_MOST) {
            throw error(
                    Frame.Reason.BAD_FRAME, count + " " + what + "; at most " + Kind.ENTRIES_MOST);
        }
        need(count * bytesEach, what);
        return count;
    }

    private long span(String what) throws FrameException {
        long micros = i64();
        if (micros < 0 || micros > Long.MAX_VALUE / 1000) {
            throw error(Frame.Reason.BAD_FRAME, what + " of " + micros + " us is out of bounds");
        }
        return micros;
    }

    private boolean flag(String what) throws FrameException {
        int value = u8();
        if (value > 1) {
            throw error(Frame.Reason.BAD_FRAME, what + " is " + value + ", not 0 or 1");
        }
        return value == 1;
    }

    /** Not negative; NaN, "did not come", only where that can be. */
    private double measure(String what, boolean mayLack) throws FrameException {
        need(Double.BYTES, what);
        double value = body.getDouble();
        if (!(value >= 0) && !(mayLack && Double.isNaN(value))) {
            throw error(Frame.Reason.BAD_FRAME, what + " is " + value);
        }
        return value;
    }

    private String text(String what) throws FrameException {
        int bytes = u8();
        need(bytes, what);
        ByteBuffer part = body.slice().limit(bytes);
        body.position(body.position() + bytes);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(part).toString();
        } catch (CharacterCodingException e) {
            throw error(Frame.Reason.BAD_FRAME, what + " is not UTF-8");
        }
    }

    private String name(String what) throws FrameException {
        String text = text(what);
        if (text.isEmpty()) {
            throw error(Frame.Reason.BAD_FRAME, what + " is empty");
        }
        return text;
    }

    private List<String> names() throws FrameException {
        int count = u8();
        if (count > Kind.METHODS_MOST) {
            throw error(Frame.Reason.BAD_FRAME, count + " methods; at most " + Kind.METHODS_MOST);
        }
        List<String> names = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            names.add(name("method"));
        }
        return names;
    }

    private NodeId node() throws FrameException {
        return new NodeId(i64());
    }

    private TableId table() throws FrameException {
        return new TableId(u16());
    }

    private MethodId method() throws FrameException {
        int value = u8();
        if (value >= Kind.METHODS_MOST) {
            throw error(Frame.Reason.BAD_FRAME, "method " + value + "; below " + Kind.METHODS_MOST);
        }
        return new MethodId(value);
    }

    private List<MethodId> methods() throws FrameException {
        need(Integer.BYTES, "methods");
        int bits = body.getInt();
        List<MethodId> methods = new ArrayList<>();
        for (int m = 0; m < Kind.METHODS_MOST; m++) {
            if ((bits >>> m & 1) == 1) {
                methods.add(new MethodId(m));
            }
        }
        return methods;
    }

    private List<Frame.Line> lines() throws FrameException {
        int count = entries(count("lines"), Long.BYTES + Double.BYTES, "lines");
        List<Frame.Line> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            lines.add(new Frame.Line(node(), measure("weight", false)));
        }
        return lines;
    }

    private List<Frame.Level> levels() throws FrameException {
        int count = u8();
        List<Frame.Level> levels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            MethodId method = method();
            double admitted = measure("level", false);
            int tries = u8();
            if (tries >= Frame.Tries.values().length) {
                throw error(Frame.Reason.BAD_FRAME, "tries " + tries + " are unknown");
            }
            levels.add(new Frame.Level(method, admitted, Frame.Tries.values()[tries]));
        }
        return levels;
    }

    private List<Frame.Holding> holdings() throws FrameException {
        int count = entries(u16(), Short.BYTES + Long.BYTES, "tables held");
        List<Frame.Holding> held = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            TableId table = table();
            long version = i64();
            if (version < 0) {
                throw error(Frame.Reason.BAD_FRAME, "version " + version + " is negative");
            }
            held.add(new Frame.Holding(table, version));
        }
        return held;
    }

    private List<Frame.Sum> sums() throws FrameException {
        int count = entries(u16(), 2 * Integer.BYTES + 3 * Long.BYTES, "sums");
        List<Frame.Sum> sums = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            NodeId node = node();
            int tries = count("tries");
            int unanswered = count("unanswered");
            if (unanswered > tries) {
                throw error(
                        Frame.Reason.BAD_FRAME, unanswered + " of " + tries + " tries unanswered");
            }
            sums.add(
                    new Frame.Sum(
                            node,
                            tries,
                            unanswered,
                            measure("latency", true),
                            measure("utilization", true)));
        }
        return sums;
    }

    private List<Frame.Count> counts() throws FrameException {
        int count = u8();
        List<Frame.Count> counts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            counts.add(new Frame.Count(method(), count("offered")));
        }
        return counts;
    }

    private Frame.Reason reason() throws FrameException {
        int code = u8();
        if (code >= Frame.Reason.values().length) {
            throw error(Frame.Reason.BAD_FRAME, "reason " + code + " is unknown");
        }
        return Frame.Reason.values()[code];
    }

    private FrameException error(Frame.Reason reason, String message) {
        return new FrameException(reason, consumed + (body == null ? 0 : body.position()), message);
    }
}
