package rosespread.scenario;

/**
 * A scenario that cannot be played; the message has a line for each fault with file, line and
 * field.
 */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    ScenarioException(String message) {
        super(message);
    }

    ScenarioException(String message, Throwable cause) {
        super(message, cause);
    }
}
