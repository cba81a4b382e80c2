package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Frames of the project's own channel, as docs/channel.md describes them. */
final class Frames {
    static final int HELLO = 1;
    static final int JOIN = 2;
    static final int NODE = 3;
    static final int BIND = 4;
    static final int LINES = 5;
    static final int WITHDRAW = 6;
    static final int LEVELS = 7;
    static final int MARK = 8;
    static final int INSTALLED = 9;
    static final int SUMS = 10;
    static final int OFFERED = 11;
    static final int KEEP_ALIVE = 12;
    static final int CLOSE = 13;
    static final int MISSED = 14;

    /** Writes the body of a frame. */
    interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private Frames() {}

    static byte[] frame(int kind, Body body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(kind);
        out.writeByte(0);
        body.write(out);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        DataOutputStream head = new DataOutputStream(whole);
        head.writeInt(bytes.size());
        bytes.writeTo(whole);
        return whole.toByteArray();
    }

    static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeByte(bytes.length);
        out.write(bytes);
    }

    static String text(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readUnsignedByte()];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
