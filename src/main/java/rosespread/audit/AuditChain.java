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
 * The hash chain over the lines of an audit log, and its verification. One instance verifies one
 * file from its first line, on one thread.
 */
final class AuditChain {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_LINE_CHARS = 1 << 20;

    private String chain = AuditLog.INITIAL_CHAIN;
    private long lines;

    private AuditChain() {}

    /**
     * Returns the chain after a line: the SHA-256, in hexadecimal, of the previous line's chain
     * followed by this line's JSON without the field {@code chain}.
     */
    static String next(String previous, ObjectNode line) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(previous.getBytes(StandardCharsets.US_ASCII));
            digest.update(line.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /**
     * Verifies the lines that start within the first bytes of a file; stops at the first line with
     * a fault.
     *
     * @param bytes the number of bytes
     * @throws IOException if the file cannot be read
     */
    static Verification verify(Path path, long bytes) throws IOException {
        AuditChain verifier = new AuditChain();
        long position = 0;
        try (BufferedReader in = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            String text = in.readLine();
            while (text != null && position < bytes) {
                Optional<String> fault = verifier.verifyNext(text);
                if (fault.isPresent()) {
                    String place = "line " + (verifier.lines + 1) + ", byte " + position + ": ";
                    return verifier.result(place + fault.get());
                }
                position += text.getBytes(StandardCharsets.UTF_8).length + 1;
                text = in.readLine();
            }
        }
        return verifier.result("");
    }

    private Verification result(String fault) {
        return new Verification(lines, chain, fault);
    }

    /** Verifies the next line; returns its fault, in which case the chain does not advance. */
    private Optional<String> verifyNext(String text) {
        JsonNode line;
        try {
            line = text.length() > MAX_LINE_CHARS ? null : JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return Optional.of("not JSON");
        }
        if (!(line instanceof ObjectNode object) || !object.path("chain").isTextual()) {
            return Optional.of(
                    "expected a JSON object of at most "
                            + MAX_LINE_CHARS
                            + " characters whose field chain is a string");
        }
        String storedChain = object.remove("chain").asText();
        if (object.path("n").asLong() != lines + 1) {
            return Optional.of("field n is " + object.path("n") + ", expected " + (lines + 1));
        }
        if (!next(chain, object).equals(storedChain)) {
            return Optional.of(
                    "field chain does not match the hash of this line and the chain before it");
        }
        chain = storedChain;
        lines++;
        return Optional.empty();
    }
}
