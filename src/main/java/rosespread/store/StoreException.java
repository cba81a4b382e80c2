package rosespread.store;

import java.io.IOException;
import rosespread.table.TableVersion;

/**
 * Thrown if stored data is damaged, that is, not as it was written, or if a log entry is not
 * consistent with the previous ones. For callers outside the package, the message names file and
 * byte offset if the data comes from a file.
 */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception that describes the fault. */
    public StoreException(String message) {
        super(message);
    }

    /** Creates an exception that describes the fault, with its cause. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Reports that the digest of a version's entries is not the stored one. */
    static StoreException digestMismatch(TableVersion version, String stored) {
        return new StoreException(
                "table "
                        + version.table().value()
                        + ": version "
                        + version.number()
                        + " has digest "
                        + Long.toHexString(version.digest())
                        + ", stored is "
                        + stored);
    }
}
