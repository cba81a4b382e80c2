package rosespread.platform;

/**
 * A joined proxy: its connection, its join message, and its outstanding acknowledgements. Owned by
 * the event-loop thread.
 */
final class ProxySession {
    private final ProxyConnection connection;
    private final Message.ProxyJoin join;
    private final PendingAcknowledgements pending = new PendingAcknowledgements();

    ProxySession(ProxyConnection connection, Message.ProxyJoin join) {
        this.connection = connection;
        this.join = join;
    }

    ProxyConnection connection() {
        return connection;
    }

    Message.ProxyJoin join() {
        return join;
    }

    PendingAcknowledgements pending() {
        return pending;
    }
}
