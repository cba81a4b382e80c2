package rosespread.discovery;

/** An answer that is not the list's. */
final class NodeListException extends Exception {
    private static final long serialVersionUID = 1L;

    NodeListException(String message) {
        super(message);
    }
}
