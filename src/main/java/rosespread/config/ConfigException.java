package rosespread.config;

/** A field lacks or is not what it must be; the message names its place. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
