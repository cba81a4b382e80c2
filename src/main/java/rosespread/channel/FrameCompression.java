package rosespread.channel;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Packs bytes with Zstandard. Its library is native: where it cannot be loaded, nothing is packed.
 */
public final class FrameCompression {
    private static final Logger LOG = LoggerFactory.getLogger(FrameCompression.class);
    private static final int LEVEL = 3;
    private static final boolean AVAILABLE = available();

    private FrameCompression() {}

    private static boolean available() {
        try {
            return Zstd.compressBound(1) > 0;
        } catch (UnsatisfiedLinkError | ExceptionInInitializerError | NoClassDefFoundError e) {
            LOG.warn("nothing is packed: {}", e.toString());
            return false;
        }
    }

    /** Whether frames can be packed and unpacked here. */
    public static boolean isAvailable() {
        return AVAILABLE;
    }

    static byte[] pack(byte[] bytes) {
        return Zstd.compress(bytes, LEVEL);
    }

    /** Unpacks what must come to just so many bytes; null if it does not. */
    static byte[] unpack(byte[] packed, int length) {
        if (!AVAILABLE) {
            return null;
        }
        byte[] bytes = new byte[length];
        try {
            return Zstd.decompressByteArray(bytes, 0, length, packed, 0, packed.length) == length
                    ? bytes
                    : null;
        } catch (ZstdException e) {
            return null;
        }
    }
}
