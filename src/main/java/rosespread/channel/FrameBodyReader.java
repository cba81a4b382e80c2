package rosespread.channel;

import java.util.ArrayList;
import java.util.List;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * Reads the body of a frame, field by field in the order of docs/channel.md. Not thread-safe, since
 * the {@link FieldReader} is not.
 */
final class FrameBodyReader {
    private static final int LINE_BYTES = Long.BYTES + Double.BYTES;
    private static final int HOLDING_BYTES = Short.BYTES + Long.BYTES;
    private static final int SUM_BYTES = Long.BYTES + 2 * Integer.BYTES + 2 * Double.BYTES;
    private static final Frame.Tries[] TRIES = Frame.Tries.values();
    private static final Frame.Reason[] REASONS = Frame.Reason.values();

    private final FieldReader fields;

    FrameBodyReader(FieldReader fields) {
        this.fields = fields;
    }

    /**
     * Reads a frame whose type and flags have been read.
     *
     * @param type any type but {@link FrameType#PACKED}, whose body is other frames
     * @throws FrameException if a field is malformed, or the body is longer or shorter than its
     *     fields
     */
    Frame read(FrameType type) throws FrameException {
        Frame frame =
                switch (type) {
                    case HELLO -> hello();
                    case JOIN -> join();
                    case NODE -> node();
                    case BIND -> bind();
                    case LINES -> lines();
                    case WITHDRAW -> new Frame.Withdraw(fields.node(), fields.flag("out"));
                    case LEVELS -> new Frame.Levels(fields.table(), levelList());
                    case MARK -> mark();
                    case INSTALLED -> new Frame.Installed(fields.i64());
                    case SUMS -> new Frame.Sums(fields.micros("covers"), sumList());
                    case OFFERED -> new Frame.Offered(fields.micros("covers"), countList());
                    case KEEP_ALIVE -> new Frame.KeepAlive(fields.i64(), fields.flag("answer"));
                    case CLOSE -> new Frame.Close(reason(), fields.text("text"));
                    case MISSED -> new Frame.Missed(fields.table(), fields.i64());
                    case PACKED -> throw new IllegalArgumentException(type.name());
                };
        if (fields.remaining() > 0) {
            throw fields.error(
                    type + " frame has " + fields.remaining() + " bytes after its last field");
        }
        return frame;
    }

    private Frame.Hello hello() throws FrameException {
        return new Frame.Hello(fields.u16(), fields.text("name"), methodNames());
    }

    private Frame.Join join() throws FrameException {
        return new Frame.Join(
                fields.nonEmptyText("proxy"),
                fields.nonEmptyText("zone"),
                fields.nonNegative("rate"),
                fields.flag("unpacks"),
                holdings());
    }

    private Frame.Node node() throws FrameException {
        return new Frame.Node(
                fields.node(), fields.nonEmptyText("host"), fields.u16(), fields.text("zone"));
    }

    private Frame.Bind bind() throws FrameException {
        return new Frame.Bind(
                fields.table(), fields.i64(), fields.i64(), methodSet(), lineList(), levelList());
    }

    private Frame.Lines lines() throws FrameException {
        return new Frame.Lines(
                fields.table(), fields.i64(), fields.i64(), fields.i64(), lineList());
    }

    private Frame.Mark mark() throws FrameException {
        return new Frame.Mark(
                fields.i64(),
                fields.i64(),
                fields.count("lines"),
                fields.count("waiting"),
                fields.micros("queued"));
    }

    private List<String> methodNames() throws FrameException {
        int count = fields.u8();
        if (count > FrameLimits.MAX_METHODS) {
            throw fields.error(count + " methods, expected at most " + FrameLimits.MAX_METHODS);
        }
        List<String> names = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            names.add(fields.nonEmptyText("method"));
        }
        return names;
    }

    private List<MethodId> methodSet() throws FrameException {
        int bits = fields.bits32("methods");
        List<MethodId> methods = new ArrayList<>();
        for (int method = 0; method < FrameLimits.MAX_METHODS; method++) {
            if ((bits >>> method & 1) == 1) {
                methods.add(new MethodId(method));
            }
        }
        return methods;
    }

    private List<Frame.Line> lineList() throws FrameException {
        int count = fields.entryCount(fields.count("lines"), LINE_BYTES, "lines");
        List<Frame.Line> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            lines.add(new Frame.Line(fields.node(), fields.nonNegative("weight")));
        }
        return lines;
    }

    private List<Frame.Level> levelList() throws FrameException {
        int count = fields.u8();
        List<Frame.Level> levels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            levels.add(level());
        }
        return levels;
    }

    private Frame.Level level() throws FrameException {
        MethodId method = fields.method();
        double admitted = fields.nonNegative("level");
        int tries = fields.u8();
        if (tries >= TRIES.length) {
            throw fields.error("tries is " + tries + ", expected less than " + TRIES.length);
        }
        return new Frame.Level(method, admitted, TRIES[tries]);
    }

    private List<Frame.Holding> holdings() throws FrameException {
        int count = fields.entryCount(fields.u16(), HOLDING_BYTES, "tables held");
        List<Frame.Holding> holdings = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            TableId table = fields.table();
            long version = fields.i64();
            if (version < 0) {
                throw fields.error("version " + version + " is negative");
            }
            holdings.add(new Frame.Holding(table, version));
        }
        return holdings;
    }

    private List<Frame.Sum> sumList() throws FrameException {
        int count = fields.entryCount(fields.u16(), SUM_BYTES, "sums");
        List<Frame.Sum> sums = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            sums.add(sum());
        }
        return sums;
    }

    private Frame.Sum sum() throws FrameException {
        NodeId node = fields.node();
        int tries = fields.count("tries");
        int unanswered = fields.count("unanswered");
        if (unanswered > tries) {
            throw fields.error(
                    "unanswered is " + unanswered + ", expected at most tries, which is " + tries);
        }
        double latencySeconds = fields.nonNegativeOrNaN("latency");
        double utilization = fields.nonNegativeOrNaN("utilization");
        return new Frame.Sum(node, tries, unanswered, latencySeconds, utilization);
    }

    private List<Frame.Count> countList() throws FrameException {
        int count = fields.u8();
        List<Frame.Count> counts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            counts.add(new Frame.Count(fields.method(), fields.count("offered")));
        }
        return counts;
    }

    private Frame.Reason reason() throws FrameException {
        int code = fields.u8();
        if (code >= REASONS.length) {
            throw fields.error("reason is " + code + ", expected less than " + REASONS.length);
        }
        return REASONS[code];
    }
}
