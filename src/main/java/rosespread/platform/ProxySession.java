package rosespread.platform;

/**
 * A joined proxy: its connection, what it said on joining, and the acknowledgements that it owes.
 * Owned by the event-loop thread.
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
