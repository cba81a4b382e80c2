package rosespread.channel;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Zstandard compression of packed frames. If the native library cannot be loaded, a warning is
 * logged once and no frame is packed. Thread-safe.
 */
public final class FrameCompression {
    private static final Logger LOG = LoggerFactory.getLogger(FrameCompression.class);
    private static final int COMPRESSION_LEVEL = 3;
    private static final boolean AVAILABLE = loadLibrary();

    private FrameCompression() {}

    private static boolean loadLibrary() {
        try {
            return Zstd.compressBound(1) > 0;
        } catch (UnsatisfiedLinkError | ExceptionInInitializerError | NoClassDefFoundError e) {
            LOG.atWarn()
                    .addKeyValue("reason", e.toString())
                    .log("native Zstandard library cannot be loaded; frames are not packed");
            return false;
        }
    }

    /** Whether frames can be compressed and decompressed in this process. */
    public static boolean isAvailable() {
        return AVAILABLE;
    }

    /** Compresses the bytes; the library must be available. */
    static byte[] compress(byte[] bytes) {
        return Zstd.compress(bytes, COMPRESSION_LEVEL);
    }

    /**
     * Decompresses bytes whose decompressed length is announced.
     *
     * @param length the announced length in bytes, which the caller has limited
     * @return empty if the bytes are not Zstandard data of exactly this length, or the library is
     *     unavailable
     */
    static Optional<byte[]> decompress(byte[] compressed, int length) {
        if (!AVAILABLE) {
            return Optional.empty();
        }
        byte[] bytes = new byte[length];
        try {
            long written =
                    Zstd.decompressByteArray(bytes, 0, length, compressed, 0, compressed.length);
            return written == length ? Optional.of(bytes) : Optional.empty();
        } catch (ZstdException e) {
            return Optional.empty();
        }
    }
}
