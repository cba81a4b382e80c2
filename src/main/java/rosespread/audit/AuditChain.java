package rosespread.audit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import rosespread.audit.AuditLog.Verification;

/**
 * The chain of hashes through the lines of an audit log, and its verification. One instance follows
 * one file from its beginning, on one thread.
 */
final class AuditChain {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_LINE_CHARS = 1 << 20;

    private String chain = AuditLog.BEGIN;
    private long lines;

    private AuditChain() {}

    /**
     * The chain after a line: the SHA-256, in hexadecimal, of the chain before and of the line's
     * JSON without its own chain.
     */
    static String next(String before, ObjectNode line) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(before.getBytes(StandardCharsets.US_ASCII));
            digest.update(line.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /**
     * Verifies the lines that begin within a number of bytes; stops at the first one at fault.
     *
     * @throws IOException if the file cannot be read
     */
    static Verification verify(Path path, long bytes) throws IOException {
        AuditChain verified = new AuditChain();
        long position = 0;
        try (BufferedReader in = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            String text = in.readLine();
            while (text != null && position < bytes) {
                Optional<String> fault = verified.append(text);
                if (fault.isPresent()) {
                    String place = "line " + (verified.lines + 1) + ", byte " + position + ": ";
                    return verified.result(place + fault.get());
                }
                position += text.getBytes(StandardCharsets.UTF_8).length + 1;
                text = in.readLine();
            }
        }
        return verified.result("");
    }

    private Verification result(String fault) {
        return new Verification(lines, chain, fault);
    }

    /** Takes the next line; returns what is wrong with it, in which case it is not taken. */
    private Optional<String> append(String text) {
        JsonNode line;
        try {
            line = text.length() > MAX_LINE_CHARS ? null : JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return Optional.of("not JSON");
        }
        if (!(line instanceof ObjectNode object) || !object.path("chain").isTextual()) {
            return Optional.of("not a line of an audit log");
        }
        String written = object.remove("chain").asText();
        if (object.path("n").asLong() != lines + 1) {
            return Optional.of("its number is " + object.path("n"));
        }
        if (!next(chain, object).equals(written)) {
            return Optional.of("its chain does not follow from the line before");
        }
        chain = written;
        lines++;
        return Optional.empty();
    }
}
