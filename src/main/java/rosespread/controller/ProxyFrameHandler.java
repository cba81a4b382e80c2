package rosespread.controller;

import java.util.Optional;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.controller.ControllerCounters.Counter;

/**
 * Dispatches the frames of proxies by their type and by the handshake state of the session. A frame
 * that a proxy must not send closes only the session that it came from.
 *
 * <p>Used on the event-loop thread.
 */
final class ProxyFrameHandler {
    private static final long NANOS_PER_MICRO = 1000L;

    private final SessionRegistry sessions;
    private final SessionHandshake handshake;
    private final LoadReportHandler loadReports;
    private final PolicyRunner policyRunner;
    private final LoopContext context;

    ProxyFrameHandler(
            SessionRegistry sessions,
            SessionHandshake handshake,
            LoadReportHandler loadReports,
            PolicyRunner policyRunner,
            LoopContext context) {
        this.sessions = sessions;
        this.handshake = handshake;
        this.loadReports = loadReports;
        this.policyRunner = policyRunner;
        this.context = context;
    }

    /** Handles a received frame; ignores frames of a closed session. */
    void frameReceived(ProxySession session, Frame frame) {
        if (session.isClosed()) {
            return;
        }
        session.recordFrameReceived(context.clock().nowNanos());
        if (frame instanceof Frame.KeepAlive keepAlive) {
            keepAliveReceived(session, keepAlive);
        } else if (frame instanceof Frame.Close) {
            sessions.closedByPeer(session);
        } else if (!session.isHelloAccepted()) {
            handshake.handleHello(session, frame);
        } else if (!session.isJoined()) {
            handshake.handleJoin(session, frame);
        } else {
            joinedFrameReceived(session, frame);
        }
    }

    private static void keepAliveReceived(ProxySession session, Frame.KeepAlive keepAlive) {
        if (!keepAlive.answer()) {
            session.transport()
                    .write(FrameWriter.bytes(new Frame.KeepAlive(keepAlive.number(), true)));
        }
    }

    private void joinedFrameReceived(ProxySession session, Frame frame) {
        if (frame instanceof Frame.Installed installed) {
            acknowledged(session, installed.number());
        } else if (frame instanceof Frame.Sums report) {
            loadReports.loadReported(session, report);
        } else if (frame instanceof Frame.Missed missed) {
            context.counters().increment(Counter.MISSED_DELTAS);
            session.requireFullUpdate(missed.table());
        } else if (frame instanceof Frame.Offered offered) {
            demandReported(session, offered);
        } else {
            // The text is part of the protocol: the simple names of the frame classes are the names
            // that the protocol uses.
            sessions.close(
                    session,
                    Frame.Reason.BAD_FRAME,
                    "a proxy must not send a " + frame.getClass().getSimpleName() + " frame");
        }
    }

    /**
     * Handles an acknowledgement. One that matches no unacknowledged message of this stream is only
     * counted, as it may belong to an earlier stream.
     */
    private void acknowledged(ProxySession session, long number) {
        Optional<ProxySession.UnacknowledgedMessage> found = session.acknowledge(number);
        if (found.isEmpty()) {
            context.counters().increment(Counter.STRAY_ACKNOWLEDGEMENTS);
            return;
        }
        ProxySession.UnacknowledgedMessage message = found.get();
        long latencyNanos = context.clock().nowNanos() - message.orderedAtNanos();
        if (message.token() >= 0) {
            context.rounds()
                    .add(
                            policy ->
                                    policy.acknowledged(
                                            session.proxy(), message.token(), latencyNanos));
        }
    }

    private void demandReported(ProxySession session, Frame.Offered offered) {
        int methods = policyRunner.settings().orElseThrow().methods().size();
        long coversNanos = offered.coversMicros() * NANOS_PER_MICRO;
        for (Frame.Count count : offered.counts()) {
            if (count.method().value() >= methods) {
                sessions.close(
                        session,
                        Frame.Reason.BAD_FRAME,
                        "method in Offered is "
                                + count.method().value()
                                + ", expected less than "
                                + methods);
                return;
            }
            context.rounds()
                    .add(
                            policy ->
                                    policy.demandReported(
                                            session.proxy(),
                                            count.method(),
                                            count.rpcs(),
                                            coversNanos));
        }
    }
}
