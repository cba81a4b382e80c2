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
 * A file of operators' acts: one line of JSON for each act, forced to the disk. Each line's {@code
 * chain} is the SHA-256 of the previous line's chain and of this line without its chain, so that
 * {@link #verify} finds a line that was changed, removed or inserted later. Lines removed from the
 * end are only detected by comparison with a chain recorded elsewhere.
 *
 * <p>Thread-safe. Field names and order are stored data and must not change.
 */
public final class AuditLog implements AutoCloseable {
    /** The chain before the first line. */
    public static final String INITIAL_CHAIN = "0".repeat(64);

    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_RECENT = 256;

    /**
     * A request of an operator that changes something, or its outcome. The control API reports the
     * components under these names.
     *
     * @param who the operator
     * @param from the address of the caller
     * @param what the request
     * @param call the idempotency key of the request
     * @param outcome "asked" before the request is performed, then its outcome
     */
    public record Act(String who, String from, String what, String call, String outcome) {}

    /**
     * The result of a verification.
     *
     * @param lines the number of valid lines before the first line with a fault
     * @param chain the chain after these lines
     * @param fault the fault, with line and byte offset; empty if the chain is valid
     */
    public record Verification(long lines, String chain, String fault) {}

    /**
     * An act as it was written. The control API reports the components under these names.
     *
     * @param number the line number, from 1
     * @param atMillis the wall clock when the act was written
     */
    public record Entry(long number, long atMillis, Act act) {}

    private final LongSupplier wallMillis;
    private final ArrayDeque<Entry> recent = new ArrayDeque<>();
    private final FileChannel file;
    private long number;
    private String chain = INITIAL_CHAIN;
    private String fault = "";

    /**
     * Opens a file, or creates it. An incomplete last line is truncated.
     *
     * @param wallMillis the wall clock
     * @throws IOException if the file cannot be read or written, or its chain is not valid; in the
     *     latter case the message names the line
     */
    public AuditLog(Path path, LongSupplier wallMillis) throws IOException {
        this.wallMillis = wallMillis;
        Files.createDirectories(path.toAbsolutePath().getParent());
        long completeBytes = 0;
        if (Files.exists(path)) {
            completeBytes = completeBytes(path);
            Verification verification = AuditChain.verify(path, completeBytes);
            if (!verification.fault().isEmpty()) {
                throw new IOException(path + ": " + verification.fault());
            }
            number = verification.lines();
            chain = verification.chain();
        }
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (file.size() > completeBytes) {
            LOG.atWarn()
                    .addKeyValue("file", path.toString())
                    .addKeyValue("bytes", file.size() - completeBytes)
                    .log("incomplete last line of the audit log truncated");
            file.truncate(completeBytes);
        }
        file.position(completeBytes);
    }

    /** Returns the length of a file up to the end of its last complete line, in bytes. */
    private static long completeBytes(Path path) throws IOException {
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
     * Writes one line and forces it to the disk. Of consecutive failures the first is logged, and
     * {@link #fault} reports the last until a line is written again. No bytes of a failed line stay
     * in the file.
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
                LOG.atError()
                        .addKeyValue("reason", e.toString())
                        .log("audit log write failed; operators' acts are not recorded");
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
            // Removes an incomplete line, to which the next line would otherwise be appended.
            file.truncate(begin);
            throw e;
        }
    }

    /** Returns the last acts of this process, at most 256, oldest first. */
    public synchronized List<Entry> recent() {
        return List.copyOf(recent);
    }

    /** Returns why the last write failed; empty if it succeeded or there was none. */
    public synchronized String fault() {
        return fault;
    }

    /**
     * Verifies a file's chain from its first line; stops at the first line with a fault.
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
