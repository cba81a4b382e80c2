package rosespread.controller;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.EventHandler;
import rosespread.api.EventSource;
import rosespread.channel.Frame;
import rosespread.eventloop.RoundScheduler;
import rosespread.settings.FleetSettings;
import rosespread.validation.DurabilityTimeout;

/**
 * Runs the routing policy's rounds. New settings and a policy that threw restart it: all streams
 * are closed, and policy, writer and channel are made again, as after a restart of the process.
 * Proxies keep their tables and rejoin.
 *
 * <p>Owned by the event-loop thread.
 */
final class PolicyRunner implements RoundScheduler.RoundHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyRunner.class);

    private final ControllerState.Environment environment;
    private final TableUpdateWriter.Context context;
    private final SessionRegistry sessions;
    private final NodeDirectory directory;
    private final NodeListPublisher publisher;
    private final RoundScheduler rounds;
    private final EventClock clock;

    /**
     * Message numbers rise over restarts of the process too, so that no acknowledgement fits a
     * message of an earlier one.
     */
    private final long firstNumber;

    private FleetSettings settings;
    private Policy policy;
    private TableUpdateWriter writer;
    private PacedChannel channel;
    private LoadReportAggregator loadReports = new LoadReportAggregator();
    private long reportsDueNanos;

    PolicyRunner(
            ControllerState.Environment environment,
            TableUpdateWriter.Context context,
            SessionRegistry sessions,
            NodeDirectory directory,
            NodeListPublisher publisher,
            RoundScheduler rounds,
            EventClock clock) {
        this.environment = environment;
        this.context = context;
        this.sessions = sessions;
        this.directory = directory;
        this.publisher = publisher;
        this.rounds = rounds;
        this.clock = clock;
        this.firstNumber = clock.wallMillis() << 20;
    }

    /** Restarts the policy with these settings; proxies get the reason in their Close frames. */
    void restart(FleetSettings next, String reason) {
        settings = next;
        restart(reason);
    }

    private void restart(String reason) {
        sessions.closeAll(Frame.Reason.STOPPING, reason);
        rounds.restart();
        loadReports = new LoadReportAggregator();
        channel =
                new PacedChannel(
                        settings.channel().entriesPerSecond(),
                        context.registry().log(),
                        new DurabilityTimeout(settings.drainTimeoutNanos()));
        sessions.useChannel(channel);
        context.facts().recordLargeChangeCause();
        context.registry().policyRestarted();
        context.facts().invalidate();
        long lastNumber = writer == null ? firstNumber : writer.lastNumber();
        writer = new TableUpdateWriter(context, settings, channel, lastNumber);
        policy = environment.newPolicy(settings, settings.seed());
        reportsDueNanos = clock.nowNanos() + settings.reportPeriodNanos();
        if (directory.isListReceived()) {
            publisher.publish(EventHandler.NodeListKind.CACHED);
        }
    }

    /** Returns the settings in force, empty before any. */
    Optional<FleetSettings> settings() {
        return Optional.ofNullable(settings);
    }

    /** Returns the writer that the policy acts on now, empty before any settings. */
    Optional<TableUpdateWriter> writer() {
        return Optional.ofNullable(writer);
    }

    /** Returns the channel that messages leave by now, empty before any settings. */
    Optional<PacedChannel> channel() {
        return Optional.ofNullable(channel);
    }

    /** Returns where load reports are aggregated until the policy gets them. */
    LoadReportAggregator loadReports() {
        return loadReports;
    }

    /** Hands over load reports and runs a round if due; returns when the next is due. */
    long runDue() {
        long now = clock.nowNanos();
        if (now >= reportsDueNanos) {
            reportsDueNanos = now + settings.reportPeriodNanos();
            LoadReportAggregator gathered = loadReports;
            loadReports = new LoadReportAggregator();
            rounds.add(gathered::deliverTo);
        }
        return Math.min(reportsDueNanos, rounds.runDue(now, this));
    }

    @Override
    public void runRound(EventSource events) {
        policy.round(clock.nowNanos(), events, writer);
        writer.closeRound(clock.roundTime());
    }

    /** A policy that threw may have lost state: a fresh one starts. */
    @Override
    public void roundFailed(Throwable failure) {
        LOG.error("routing policy failed; restarting it", failure);
        restart("the decision module begins anew");
    }
}
