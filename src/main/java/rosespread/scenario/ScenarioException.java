package rosespread.scenario;

/**
 * Thrown if a scenario is invalid or missing. For an invalid scenario, the message has one line for
 * each invalid field, with file, line and field.
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
