package rosespread.controller;

import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.controller.ControllerCounters.Counter;

/**
 * Sends keep-alives, and closes sessions whose proxy is silent, does not read, or does not join.
 *
 * <p>Used on the event-loop thread.
 */
final class KeepAliveMonitor {
    /** Keep-alive intervals without a received frame after which a joined session is closed. */
    private static final int MAX_MISSED_INTERVALS = 4;

    private static final long JOIN_TIMEOUT_NANOS = 5_000_000_000L;
    private static final long MAX_WRITE_BUFFER_BYTES = 4L << 20;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final SessionRegistry sessions;
    private final ControllerCounters counters;

    KeepAliveMonitor(SessionRegistry sessions, ControllerCounters counters) {
        this.sessions = sessions;
        this.counters = counters;
    }

    /**
     * Checks all open sessions.
     *
     * @return when to check again, by {@link System#nanoTime()}; {@link Long#MAX_VALUE} if no
     *     session is open
     */
    long check(long nowNanos, long intervalNanos) {
        long next = Long.MAX_VALUE;
        for (ProxySession session : sessions.openSessions()) {
            check(session, nowNanos, intervalNanos);
            next =
                    Math.min(
                            next,
                            session.isJoined()
                                    ? session.lastKeepAliveSentAtNanos() + intervalNanos
                                    : session.openedAtNanos() + JOIN_TIMEOUT_NANOS);
        }
        return next;
    }

    private void check(ProxySession session, long nowNanos, long intervalNanos) {
        long silentNanos = nowNanos - session.lastFrameReceivedAtNanos();
        if (session.isJoined() && silentNanos > MAX_MISSED_INTERVALS * intervalNanos) {
            counters.increment(Counter.SILENT_SESSIONS);
            sessions.close(
                    session,
                    Frame.Reason.SILENT,
                    "no frame received for "
                            + silentNanos / NANOS_PER_MILLI
                            + " ms, expected one within "
                            + MAX_MISSED_INTERVALS * intervalNanos / NANOS_PER_MILLI
                            + " ms");
        } else if (!session.isJoined() && nowNanos - session.openedAtNanos() > JOIN_TIMEOUT_NANOS) {
            sessions.close(
                    session,
                    Frame.Reason.SILENT,
                    "no Join frame received within "
                            + JOIN_TIMEOUT_NANOS / NANOS_PER_MILLI
                            + " ms");
        } else if (session.transport().writeBufferBytes() > MAX_WRITE_BUFFER_BYTES) {
            counters.increment(Counter.SLOW_SESSIONS);
            sessions.close(
                    session,
                    Frame.Reason.SLOW,
                    session.transport().writeBufferBytes()
                            + " bytes sent but not read, expected at most "
                            + MAX_WRITE_BUFFER_BYTES);
        } else if (session.isJoined()
                && nowNanos - session.lastKeepAliveSentAtNanos() >= intervalNanos) {
            session.recordKeepAliveSent(nowNanos);
            session.transport().write(FrameWriter.bytes(new Frame.KeepAlive(nowNanos, false)));
        }
    }
}
