package rosespread.store;

import java.io.IOException;
import rosespread.table.TableVersion;

/**
 * What is on disk is not what was written, or an entry does not follow from those before. Thrown to
 * callers outside the package the message names file and byte offset if it comes from a file.
 */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1;

    /** An exception with what was found. */
    public StoreException(String message) {
        super(message);
    }

    /** An exception with what was found and its cause. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** The digest of a version's entries is not the one that was written. */
    static StoreException wrongDigest(TableVersion version, String written) {
        return new StoreException(
                "table "
                        + version.table().value()
                        + ": version "
                        + version.number()
                        + " has digest "
                        + Long.toHexString(version.digest())
                        + ", written was "
                        + written);
    }
}
