package rosespread.config;

import java.util.Optional;

/**
 * A configuration cannot be used: a field is missing, has a wrong type, or breaks a rule. The
 * message is one line for an operator.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String expected;

    /** An error that is described by its message alone. */
    public ConfigException(String message) {
        this(null, null, message);
    }

    private ConfigException(String path, String expected, String message) {
        super(message);
        this.path = path;
        this.expected = expected;
    }

    static ConfigException wrongType(String path, String expected) {
        return new ConfigException(path, expected, path + " is not " + expected);
    }

    static ConfigException missing(String objectPath, String key) {
        return new ConfigException(
                objectPath + "." + key, "a value", objectPath + " lacks \"" + key + "\"");
    }

    /** The path of the field at fault, such as {@code settings.domain.agents}, if it is known. */
    public Optional<String> path() {
        return Optional.ofNullable(path);
    }

    /** What the field should have been, such as {@code a number}, if it is known. */
    public Optional<String> expected() {
        return Optional.ofNullable(expected);
    }
}
