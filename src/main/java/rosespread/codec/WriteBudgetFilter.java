package rosespread.codec;

import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.WriteRequest;

/**
 * Counts what is queued for the peers of a server in a {@link ByteBudget}, so that peers that read
 * nothing cannot exhaust the memory together. Must be the first filter of the chain, next to the
 * socket. Thread-safe.
 */
public final class WriteBudgetFilter extends IoFilterAdapter {
    /** Memory that a queued write needs besides its bytes. */
    private static final int BYTES_PER_WRITE = 512;

    private static final AttributeKey HOLDING =
            new AttributeKey(WriteBudgetFilter.class, "holding");

    private final ByteBudget budget;

    /** Creates a filter for all sessions of a server. */
    public WriteBudgetFilter(ByteBudget budget) {
        this.budget = budget;
    }

    @Override
    public void sessionCreated(NextFilter next, IoSession session) throws Exception {
        ByteBudget.Holding holding =
                budget.open(() -> queuedBytes(session), () -> session.closeNow());
        session.setAttribute(HOLDING, holding);
        session.getCloseFuture().addListener(future -> holding.close());
        next.sessionCreated(session);
    }

    /** Memory that the writes queued for a session need, in bytes. */
    public static int queuedBytes(IoSession session) {
        long bytes =
                session.getScheduledWriteBytes()
                        + (long) BYTES_PER_WRITE * session.getScheduledWriteMessages();
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, bytes));
    }

    @Override
    public void filterWrite(NextFilter next, IoSession session, WriteRequest request)
            throws Exception {
        next.filterWrite(session, request);
        holding(session).refresh();
    }

    @Override
    public void messageSent(NextFilter next, IoSession session, WriteRequest request)
            throws Exception {
        next.messageSent(session, request);
        holding(session).refreshAfterProgress();
    }

    private static ByteBudget.Holding holding(IoSession session) {
        return (ByteBudget.Holding) session.getAttribute(HOLDING);
    }
}
