package rosespread.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A proxy's connection that keeps written messages, each as its strings separated by blanks. */
final class RecordingConnection implements ProxyConnection {
    private static final Pattern TOKEN = Pattern.compile("ticket ([0-9]+)");

    private final List<String> messages = new ArrayList<>();
    private boolean closed;

    @Override
    public void write(byte[] message) {
        String text = new String(message, StandardCharsets.UTF_8);
        messages.add(text.replaceAll("\r\n(\\$[0-9]+\r\n)?", " "));
    }

    @Override
    public long writeBufferBytes() {
        return 0;
    }

    @Override
    public void close() {
        closed = true;
    }

    List<String> messages() {
        return Collections.unmodifiableList(messages);
    }

    boolean isClosed() {
        return closed;
    }

    /** The acknowledgement token of the last message, which must have one. */
    int lastToken() {
        Matcher token = TOKEN.matcher(messages.get(messages.size() - 1));
        if (!token.find()) {
            throw new AssertionError("expected a token in the last message, found " + messages);
        }
        return Integer.parseInt(token.group(1));
    }
}
