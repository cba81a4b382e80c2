package rosespread.config;

import java.util.Optional;

/**
 * Thrown if a configuration is invalid: a field is missing, has a wrong type, or violates a rule.
 * The message is one line for an operator.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String expected;

    /** Creates an exception without a field path and an expected type. */
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

    /** The path of the invalid field, such as {@code settings.domain.agents}; empty if unknown. */
    public Optional<String> path() {
        return Optional.ofNullable(path);
    }

    /** The expected type of the field, such as {@code a number}; empty if unknown. */
    public Optional<String> expected() {
        return Optional.ofNullable(expected);
    }
}
