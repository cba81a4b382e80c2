package rosespread.controller;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.controller.ControllerCounters.Counter;
import rosespread.settings.FleetSettings;

/**
 * Handles the first two frames of a session. Hello checks the protocol version; Join gives the name
 * and zone of the proxy and the table versions that the proxy holds. The texts of rejections are
 * part of the protocol.
 *
 * <p>Used on the event-loop thread.
 */
final class SessionHandshake {
    private static final Logger LOG = LoggerFactory.getLogger(SessionHandshake.class);
    private static final int MAX_PROXIES = 1 << 16;

    /** Name of the controller in its Hello frame. */
    private static final String CONTROLLER_NAME = "conductor";

    private final SessionRegistry sessions;
    private final PolicyRunner policyRunner;
    private final TableRegistry registry;
    private final FleetNames names;
    private final LoopContext context;

    SessionHandshake(
            SessionRegistry sessions,
            PolicyRunner policyRunner,
            TableRegistry registry,
            FleetNames names,
            LoopContext context) {
        this.sessions = sessions;
        this.policyRunner = policyRunner;
        this.registry = registry;
        this.names = names;
        this.context = context;
    }

    /** Handles the first frame of a session, which must be Hello. */
    void handleHello(ProxySession session, Frame frame) {
        Optional<FleetSettings> settings = policyRunner.settings();
        if (!(frame instanceof Frame.Hello hello)) {
            sessions.close(
                    session,
                    Frame.Reason.BAD_FRAME,
                    "first frame is " + frame.getClass().getSimpleName() + ", expected Hello");
        } else if (hello.version() != Frame.VERSION) {
            sessions.close(
                    session,
                    Frame.Reason.BAD_VERSION,
                    "protocol version is " + hello.version() + ", expected " + Frame.VERSION);
        } else if (settings.isEmpty()) {
            sessions.close(session, Frame.Reason.NO_SETTINGS, "the controller has no settings yet");
        } else {
            session.markHelloAccepted();
            session.transport()
                    .write(
                            FrameWriter.bytes(
                                    new Frame.Hello(
                                            Frame.VERSION,
                                            CONTROLLER_NAME,
                                            settings.get().methodNames())));
        }
    }

    /** Handles the second frame of a session, which must be Join. */
    void handleJoin(ProxySession session, Frame frame) {
        if (!(frame instanceof Frame.Join join)) {
            sessions.close(
                    session,
                    Frame.Reason.BAD_FRAME,
                    "second frame is " + frame.getClass().getSimpleName() + ", expected Join");
            return;
        }
        FleetSettings settings = policyRunner.settings().orElseThrow();
        if (!settings.zones().contains(join.zone())) {
            sessions.close(
                    session,
                    Frame.Reason.BAD_JOIN,
                    "zone \""
                            + join.zone()
                            + "\" is unknown, expected one of "
                            + String.join(", ", settings.zones()));
            return;
        }
        Optional<ProxySession> replaced = sessions.findJoined(join.proxy());
        replaced.ifPresent(
                previous ->
                        sessions.close(
                                previous,
                                Frame.Reason.REPLACED,
                                "replaced by a newer stream of proxy " + join.proxy()));
        ProxyId freeId = sessions.lowestFreeId();
        if (freeId.value() >= MAX_PROXIES) {
            sessions.close(
                    session,
                    Frame.Reason.FULL,
                    "the limit of " + MAX_PROXIES + " joined proxies is reached");
            return;
        }
        accept(session, join, replaced.map(ProxySession::proxy).orElse(freeId));
    }

    private void accept(ProxySession session, Frame.Join join, ProxyId id) {
        ZoneId zone = names.zone(join.zone());
        session.join(id, join.proxy(), zone, join.unpacks());
        sessions.addJoined(session);
        context.counters().increment(Counter.JOINS);
        LOG.atInfo()
                .addKeyValue("proxy", session.name())
                .addKeyValue("zone", join.zone())
                .addKeyValue("remote", session.transport().remoteAddress())
                .log("proxy joined");
        long wallMillis = context.clock().wallMillis();
        join.held()
                .forEach(
                        held ->
                                registry.raiseNumberAbove(
                                        held.table(), held.version(), wallMillis));
        context.rounds().add(policy -> policy.proxyJoined(id, zone, join.rate()));
    }
}
