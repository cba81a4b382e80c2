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
 * Runs the rounds of the routing policy. The policy is restarted when settings are applied and
 * after the policy threw: all streams are closed, and policy, writer and channel are created anew,
 * as after a restart of the process. Proxies keep their tables and rejoin.
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
     * Number after which the messages of this process are numbered. It is based on the wall clock,
     * so that message numbers increase across restarts of the process and an acknowledgement never
     * matches a message of an earlier process.
     */
    private final long initialMessageNumber;

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
        this.initialMessageNumber = clock.wallMillis() << 20;
    }

    /** Restarts the policy with new settings; the reason is sent to proxies in Close frames. */
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
        sessions.setChannel(channel);
        context.facts().recordLargeChangeCause();
        context.registry().policyRestarted();
        context.facts().invalidate();
        long lastMessageNumber = writer == null ? initialMessageNumber : writer.lastMessageNumber();
        writer = new TableUpdateWriter(context, settings, channel, lastMessageNumber);
        policy = environment.newPolicy(settings, settings.seed());
        reportsDueNanos = clock.nowNanos() + settings.reportPeriodNanos();
        if (directory.isListReceived()) {
            publisher.publish(EventHandler.NodeListKind.CACHED);
        }
    }

    /** Returns the settings in force; empty before any were applied. */
    Optional<FleetSettings> settings() {
        return Optional.ofNullable(settings);
    }

    /** Returns the writer that takes the current policy's actions; empty before any settings. */
    Optional<TableUpdateWriter> writer() {
        return Optional.ofNullable(writer);
    }

    /** Returns the channel that messages are currently sent through; empty before any settings. */
    Optional<PacedChannel> channel() {
        return Optional.ofNullable(channel);
    }

    /** Returns the aggregator that collects load reports until their delivery to the policy. */
    LoadReportAggregator loadReports() {
        return loadReports;
    }

    /**
     * Delivers load reports and runs a round, each if it is due.
     *
     * @return when to call again, in nanoseconds of {@link System#nanoTime()}
     */
    long runDue() {
        long now = clock.nowNanos();
        if (now >= reportsDueNanos) {
            reportsDueNanos = now + settings.reportPeriodNanos();
            LoadReportAggregator completed = loadReports;
            loadReports = new LoadReportAggregator();
            rounds.add(completed::deliverTo);
        }
        return Math.min(reportsDueNanos, rounds.runDue(now, this));
    }

    @Override
    public void runRound(EventSource events) {
        policy.round(clock.nowNanos(), events, writer);
        writer.closeRound(clock.roundTime());
    }

    /** Logs the failure and restarts the policy, as a policy that threw may have lost state. */
    @Override
    public void roundFailed(Throwable failure) {
        LOG.error("routing policy failed; restarting it", failure);
        restart("the routing policy failed and is restarted");
    }
}
