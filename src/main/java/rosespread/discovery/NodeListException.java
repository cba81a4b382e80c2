package rosespread.discovery;

/** A response is not a list of nodes; the message names the entry and field, or line and column. */
final class NodeListException extends Exception {
    private static final long serialVersionUID = 1L;

    NodeListException(String message) {
        super(message);
    }
}
