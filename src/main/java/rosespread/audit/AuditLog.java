package rosespread.audit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.List;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who did what, one line of JSON each, forced to the disk. Each line's {@code chain} is the SHA-256
 * of the line before's chain and of this line without it, so that a line that is changed, taken out
 * or put in later is found by {@link #verify}; cutting off the end is not, but for a copy of an
 * earlier chain.
 */
public final class AuditLog implements AutoCloseable {
    /** The chain before the first line. */
    public static final String BEGIN = "0".repeat(64);

    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LONGEST = 1 << 20;

    /**
     * @param outcome "asked" before it was tried, then what came of it
     */
    public record Act(String who, String from, String what, String call, String outcome) {}

    /**
     * @param fault with the line's place; empty if the chain holds
     */
    public record Verification(long lines, String chain, String fault) {}

    /** An act and its moment, by wall clock. */
    public record Entry(long number, long atMillis, Act act) {}

    private static final int RECENT = 256;

    private final LongSupplier wallMillis;
    private final ArrayDeque<Entry> recent = new ArrayDeque<>();
    private final FileChannel file;
    private long number;
    private String chain = BEGIN;
    private String fault = "";

    /**
     * Goes on with a file, or begins it. A last line that is not whole is cut.
     *
     * @throws IOException if the file cannot be read or its chain does not hold; the message names
     *     the line
     */
    public AuditLog(Path path, LongSupplier wallMillis) throws IOException {
        this.wallMillis = wallMillis;
        Files.createDirectories(path.toAbsolutePath().getParent());
        long whole = 0;
        if (Files.exists(path)) {
            whole = wholeLines(path);
            Verification verdict = verify(path, whole);
            if (!verdict.fault().isEmpty()) {
                throw new IOException(path + ": " + verdict.fault());
            }
            number = verdict.lines();
            chain = verdict.chain();
        }
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (file.size() > whole) {
            LOG.warn(
                    "{}: the last {} bytes were not a whole line and are cut",
                    path,
                    file.size() - whole);
            file.truncate(whole);
        }
        file.position(whole);
    }

    private static long wholeLines(Path path) throws IOException {
        try (FileChannel in = FileChannel.open(path, StandardOpenOption.READ)) {
            ByteBuffer one = ByteBuffer.allocate(1);
            for (long end = in.size(); end > 0; end--) {
                one.clear();
                in.read(one, end - 1);
                if (one.get(0) == '\n') {
                    return end;
                }
            }
            return 0;
        }
    }

    /** Writes one line; tells whether it is on the disk. */
    public synchronized boolean write(Act act) {
        ObjectNode line = JSON.createObjectNode();
        long now = wallMillis.getAsLong();
        line.put("n", number + 1)
                .put("at", now)
                .put("who", act.who())
                .put("from", act.from())
                .put("what", act.what())
                .put("call", act.call())
                .put("outcome", act.outcome());
        String next = chain(chain, line);
        line.put("chain", next);
        try {
            long begin = file.position();
            ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8));
            try {
                while (bytes.hasRemaining()) {
                    file.write(bytes);
                }
                file.force(false);
            } catch (IOException e) {
                // What was written of it must not stand before the next line.
                file.truncate(begin);
                throw e;
            }
            number++;
            recent.addLast(new Entry(number, now, act));
            if (recent.size() > RECENT) {
                recent.removeFirst();
            }
            chain = next;
            fault = "";
            return true;
        } catch (IOException e) {
            if (fault.isEmpty()) {
                LOG.error("acts are not audited: {}", e.toString());
            }
            fault = String.valueOf(e.getMessage());
            return false;
        }
    }

    /** The last lines of this process, oldest first. */
    public synchronized List<Entry> recent() {
        return List.copyOf(recent);
    }

    /** Why nothing is written at the moment; empty if all is well. */
    public synchronized String fault() {
        return fault;
    }

    /** Follows a file's chain from its beginning; stops at the first line at fault. */
    public static Verification verify(Path path) throws IOException {
        return verify(path, Long.MAX_VALUE);
    }

    private static Verification verify(Path path, long bytes) throws IOException {
        String chain = BEGIN;
        long lines = 0;
        long at = 0;
        try (BufferedReader in = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            for (String text = in.readLine(); text != null && at < bytes; text = in.readLine()) {
                String place = "line " + (lines + 1) + ", byte " + at + ": ";
                JsonNode line;
                try {
                    line = text.length() > LONGEST ? null : JSON.readTree(text);
                } catch (IOException e) {
                    return new Verification(lines, chain, place + "not JSON");
                }
                if (!(line instanceof ObjectNode object) || !line.path("chain").isTextual()) {
                    return new Verification(lines, chain, place + "not a line of an audit log");
                }
                String told = object.remove("chain").asText();
                if (object.path("n").asLong() != lines + 1) {
                    return new Verification(lines, chain, place + "its number is " + object.path("n"));
                }
                if (!chain(chain, object).equals(told)) {
                    return new Verification(
                            lines, chain, place + "its chain does not follow from the line before");
                }
                chain = told;
                lines++;
                at += text.getBytes(StandardCharsets.UTF_8).length + 1;
            }
        }
        return new Verification(lines, chain, "");
    }

    private static String chain(String before, ObjectNode line) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(before.getBytes(StandardCharsets.US_ASCII));
            digest.update(line.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        file.close();
    }
}
