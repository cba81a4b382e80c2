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
 * The settings as they were last applied, in one file. It is written beside and moved into place,
 * so that it is always whole; a digest over the settings tells damage. A damaged file is never
 * overwritten: it is set aside.
 */
public final class SettingsFile {
    private static final int FORMAT = 2;

    /** Before settings had a revision; its digest is over the settings alone. */
    private static final int WITHOUT_REVISION = 1;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * PolicySettings as they were applied.
     *
     * @param revision rises by one with each that is applied; @param by who applied it; @param call
     *     the id of the call that did
     */
    public record Saved(String json, long revision, String operator, String requestId, long savedAtMillis) {}

    private final Path file;
    private boolean damaged;

    public SettingsFile(Path folder) {
        this.file = folder.resolve("settings.json");
    }

    /**
     * The settings as saved, if there are any.
     *
     * @throws IOException if the file cannot be read or is damaged; the message names the file and
     *     the place
     */
    public Optional<Saved> load() throws IOException {
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        damaged = true;
        byte[] bytes = Files.readAllBytes(file);
        JsonNode saved;
        try {
            saved = JSON.readTree(bytes);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    file
                            + ": damaged at byte "
                            + (e.getLocation() == null ? 0 : e.getLocation().getByteOffset())
                            + " of "
                            + bytes.length
                            + ": "
                            + e.getOriginalMessage(),
                    e);
        }
        int format = saved == null ? 0 : saved.path("format").asInt();
        if (saved == null || !saved.isObject() || format != FORMAT && format != WITHOUT_REVISION) {
            throw new IOException(
                    file
                            + ": field format is "
                            + (saved == null ? "missing" : saved.path("format"))
                            + "; allowed: "
                            + FORMAT);
        }
        String text = saved.path("settings").toString();
        String told = saved.path("digest").asText();
        String is = digest(format == FORMAT ? withoutDigest((ObjectNode) saved) : text);
        if (!told.equals(is)) {
            throw new IOException(
                    file
                            + ": field digest is \""
                            + told
                            + "\"; what is in the file has \""
                            + is
                            + "\"");
        }
        damaged = false;
        return Optional.of(
                new Saved(
                        text,
                        saved.path("revision").asLong(),
                        saved.path("by").asText(),
                        saved.path("call").asText(),
                        saved.path("savedAtMillis").asLong()));
    }

    /** Saves; returns where a damaged file that stood in the way was set aside. */
    public Optional<Path> save(Saved settings) throws IOException {
        JsonNode parsed = JSON.readTree(settings.json());
        long wallMillis = settings.savedAtMillis();
        ObjectNode saved = JSON.createObjectNode();
        saved.put("format", FORMAT);
        saved.put("savedAtMillis", wallMillis);
        saved.put("revision", settings.revision())
                .put("by", settings.operator())
                .put("call", settings.requestId());
        saved.set("settings", parsed);
        saved.put("digest", digest(saved.toString()));
        Files.createDirectories(file.getParent());
        Optional<Path> aside = Optional.empty();
        if (damaged && Files.exists(file)) {
            aside =
                    Optional.of(
                            Files.move(
                                    file,
                                    file.resolveSibling("settings.json.damaged-" + wallMillis)));
        }
        Path next = file.resolveSibling("settings.json.next");
        try (FileChannel out =
                FileChannel.open(
                        next,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes =
                    ByteBuffer.wrap(JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(saved));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
        damaged = false;
        return aside;
    }

    private static String withoutDigest(ObjectNode saved) {
        ObjectNode rest = saved.deepCopy();
        rest.remove("digest");
        return rest.toString();
    }

    private static String digest(String text) {
        return Hashing.murmur3_128()
                .hashBytesTo128Bits(text.getBytes(StandardCharsets.UTF_8))
                .toString();
    }
}
