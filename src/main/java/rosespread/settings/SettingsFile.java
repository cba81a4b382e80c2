package rosespread.settings;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * The file {@code settings.json} that preserves the settings in force across restarts.
 *
 * <p>A save writes a temporary file, forces it to disk and renames it, so that after a crash the
 * file holds either the former settings or the new ones. A digest detects damage. A damaged file is
 * never overwritten: the following save sets it aside.
 *
 * <p>Not thread-safe; {@link #load} and {@link #save} block on the disk.
 */
public final class SettingsFile {
    private static final int FORMAT = 2;

    /** The format before settings had a revision; its digest covers the settings only. */
    private static final int FORMAT_WITHOUT_REVISION = 1;

    private static final String DIGEST = "digest";
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Settings as they were applied.
     *
     * @param json the settings as JSON
     * @param revision a number that increases by one with each change of the settings
     * @param operator the operator who applied these settings
     * @param requestId the id of the request that applied the settings
     * @param savedAtMillis the wall-clock time at which they were applied, in milliseconds since
     *     the epoch
     */
    public record Saved(
            String json, long revision, String operator, String requestId, long savedAtMillis) {}

    private final Path file;

    /** Whether the existing file could not be loaded and must be set aside before a save. */
    private boolean damaged;

    /** Uses the file in a directory; neither needs to exist yet. */
    public SettingsFile(Path directory) {
        this.file = directory.resolve("settings.json");
    }

    /**
     * Returns the settings saved last, or empty if there is no file.
     *
     * @throws IOException if the file cannot be read or is damaged; the message names the file and
     *     the byte or field
     */
    public Optional<Saved> load() throws IOException {
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        damaged = true;
        JsonNode content = parse(Files.readAllBytes(file));
        int format = readFormat(content);
        String settings = content.path("settings").toString();
        checkDigest(content, format, settings);
        damaged = false;
        return Optional.of(
                new Saved(
                        settings,
                        content.path("revision").asLong(),
                        content.path("by").asText(),
                        content.path("call").asText(),
                        content.path("savedAtMillis").asLong()));
    }

    private JsonNode parse(byte[] bytes) throws IOException {
        try {
            return JSON.readTree(bytes);
        } catch (JsonProcessingException e) {
            long offset = e.getLocation() == null ? 0 : e.getLocation().getByteOffset();
            String where = "damaged at byte " + offset + " of " + bytes.length;
            throw new IOException(file + ": " + where + ": " + e.getOriginalMessage(), e);
        }
    }

    private int readFormat(JsonNode content) throws IOException {
        int format = content == null ? 0 : content.path("format").asInt();
        boolean known = format == FORMAT || format == FORMAT_WITHOUT_REVISION;
        if (content == null || !content.isObject() || !known) {
            Object found = content == null ? "missing" : content.path("format");
            throw new IOException(file + ": field format is " + found + "; allowed: " + FORMAT);
        }
        return format;
    }

    private void checkDigest(JsonNode content, int format, String settings) throws IOException {
        String stored = content.path(DIGEST).asText();
        String actual = digest(format == FORMAT ? withoutDigest((ObjectNode) content) : settings);
        if (!stored.equals(actual)) {
            throw new IOException(
                    file
                            + ": field digest is \""
                            + stored
                            + "\"; the digest of the content is \""
                            + actual
                            + "\"");
        }
    }

    /**
     * Saves settings. They are on disk when the method returns.
     *
     * @return the path to which a damaged file was moved, if there was one
     * @throws IOException if the settings cannot be saved or are not JSON
     */
    public Optional<Path> save(Saved settings) throws IOException {
        byte[] content =
                JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(contentOf(settings));
        Files.createDirectories(file.getParent());
        Optional<Path> aside = setDamagedFileAside(settings.savedAtMillis());
        Path temporaryFile = file.resolveSibling("settings.json.next");
        writeDurably(temporaryFile, content);
        Files.move(
                temporaryFile,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        forceDirectory();
        damaged = false;
        return aside;
    }

    /** The digest covers the text of all other fields, so their order must not change. */
    private static ObjectNode contentOf(Saved settings) throws JsonProcessingException {
        ObjectNode content = JSON.createObjectNode();
        content.put("format", FORMAT);
        content.put("savedAtMillis", settings.savedAtMillis());
        content.put("revision", settings.revision());
        content.put("by", settings.operator());
        content.put("call", settings.requestId());
        content.set("settings", JSON.readTree(settings.json()));
        content.put(DIGEST, digest(content.toString()));
        return content;
    }

    private Optional<Path> setDamagedFileAside(long wallMillis) throws IOException {
        if (!damaged || !Files.exists(file)) {
            return Optional.empty();
        }
        Path aside = file.resolveSibling("settings.json.damaged-" + wallMillis);
        return Optional.of(Files.move(file, aside));
    }

    private static void writeDurably(Path path, byte[] content) throws IOException {
        try (FileChannel out =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(content);
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
    }

    /** Makes the rename of the file durable. */
    private void forceDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static String withoutDigest(ObjectNode content) {
        ObjectNode rest = content.deepCopy();
        rest.remove(DIGEST);
        return rest.toString();
    }

    private static String digest(String text) {
        return Hashing.murmur3_128()
                .hashBytesTo128Bits(text.getBytes(StandardCharsets.UTF_8))
                .toString();
    }
}
