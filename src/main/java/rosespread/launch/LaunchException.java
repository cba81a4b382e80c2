package rosespread.launch;

/** A field lacks or is not what it must be; the message names its place. */
public final class LaunchException extends Exception {
    private static final long serialVersionUID = 1L;

    public LaunchException(String message) {
        super(message);
    }
}
