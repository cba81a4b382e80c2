package rosespread.audit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who did what: one line of JSON for each act, forced to the disk. Each line's {@code chain} is the
 * SHA-256 of the chain of the line before and of this line without it, so that {@link #verify}
 * finds a line that was changed, removed or inserted later. An end that was cut off only shows
 * against a chain noted elsewhere.
 *
 * <p>Thread-safe. Field names and order are stored data and must not change.
 */
public final class AuditLog implements AutoCloseable {
    /** The chain before the first line. */
    public static final String BEGIN = "0".repeat(64);

    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_RECENT = 256;

    /**
     * What somebody did or tried. Reported by the control API under these names.
     *
     * @param who the operator
     * @param from the address of the caller
     * @param what the request
     * @param call the idempotency key of the request
     * @param outcome "asked" before it was tried, then what came of it
     */
    public record Act(String who, String from, String what, String call, String outcome) {}

    /**
     * What a verification found.
     *
     * @param lines lines whose chain holds, before the first one at fault
     * @param chain the chain after them
     * @param fault what is wrong, with line and byte offset; empty if the chain holds
     */
    public record Verification(long lines, String chain, String fault) {}

    /**
     * An act as it was written. Reported by the control API under these names.
     *
     * @param number of its line, from 1
     * @param atMillis wall clock
     */
    public record Entry(long number, long atMillis, Act act) {}

    private final LongSupplier wallMillis;
    private final ArrayDeque<Entry> recent = new ArrayDeque<>();
    private final FileChannel file;
    private long number;
    private String chain = BEGIN;
    private String fault = "";

    /**
     * Opens a file or begins it. A last line that is not whole is cut.
     *
     * @param wallMillis the wall clock
     * @throws IOException if the file cannot be read or written, or its chain does not hold; then
     *     the message names the line
     */
    public AuditLog(Path path, LongSupplier wallMillis) throws IOException {
        this.wallMillis = wallMillis;
        Files.createDirectories(path.toAbsolutePath().getParent());
        long whole = 0;
        if (Files.exists(path)) {
            whole = wholeLines(path);
            Verification verification = AuditChain.verify(path, whole);
            if (!verification.fault().isEmpty()) {
                throw new IOException(path + ": " + verification.fault());
            }
            number = verification.lines();
            chain = verification.chain();
        }
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (file.size() > whole) {
            LOG.atWarn()
                    .addKeyValue("file", path.toString())
                    .addKeyValue("bytes", file.size() - whole)
                    .log("last line of the audit log was not whole and is cut");
            file.truncate(whole);
        }
        file.position(whole);
    }

    /** The length of a file up to the end of its last whole line, in bytes. */
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

    /**
     * Writes one line and forces it to the disk. A failure is logged once and reported by {@link
     * #fault} until a line is written again; nothing of the failed line stays in the file.
     *
     * @return whether the act is on the disk
     */
    public synchronized boolean write(Act act) {
        long now = wallMillis.getAsLong();
        ObjectNode line = line(act, now);
        String next = AuditChain.next(chain, line);
        line.put("chain", next);
        try {
            append((line + "\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            if (fault.isEmpty()) {
                LOG.atError().addKeyValue("reason", e.toString()).log("acts are not audited");
            }
            fault = String.valueOf(e.getMessage());
            return false;
        }
        chain = next;
        number++;
        recent.addLast(new Entry(number, now, act));
        if (recent.size() > MAX_RECENT) {
            recent.removeFirst();
        }
        fault = "";
        return true;
    }

    private ObjectNode line(Act act, long atMillis) {
        return JSON.createObjectNode()
                .put("n", number + 1)
                .put("at", atMillis)
                .put("who", act.who())
                .put("from", act.from())
                .put("what", act.what())
                .put("call", act.call())
                .put("outcome", act.outcome());
    }

    private void append(byte[] line) throws IOException {
        long begin = file.position();
        ByteBuffer bytes = ByteBuffer.wrap(line);
        try {
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            file.force(false);
        } catch (IOException e) {
            // What was written of the line must not stand before the next one.
            file.truncate(begin);
            throw e;
        }
    }

    /** The last acts of this process, at most 256, the oldest first. */
    public synchronized List<Entry> recent() {
        return List.copyOf(recent);
    }

    /** Why nothing is written at the moment; empty if all is well. */
    public synchronized String fault() {
        return fault;
    }

    /**
     * Verifies a file's chain from its beginning; stops at the first line at fault.
     *
     * @throws IOException if the file cannot be read
     */
    public static Verification verify(Path path) throws IOException {
        return AuditChain.verify(path, Long.MAX_VALUE);
    }

    @Override
    public synchronized void close() throws IOException {
        file.close();
    }
}
