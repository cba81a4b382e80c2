package rosespread.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import rosespread.api.PolicySettings;

/**
 * Checks at startup for settings that make it impossible to drain nodes within the drain timeout,
 * whatever the policy decides: a channel too slow for the number of proxies, a queue too short for
 * one message, or a message limit that is too low.
 */
final class ChannelCapacityCheck {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Entries, besides the overhead, of the shortest message that removes a node: a weight entry
     * and an acknowledgement token.
     */
    private static final int REMOVAL_ENTRIES = 2;

    /** The limit that is too low. */
    enum Shortage {
        CHANNEL_RATE,
        QUEUE_LIMIT,
        MESSAGE_LIMIT
    }

    /**
     * A shortage that the check found.
     *
     * @param text log message for operators
     */
    record Warning(Shortage shortage, String text) {}

    private ChannelCapacityCheck() {}

    /**
     * Returns one warning for each limit that is too low if the given number of proxies connect to
     * one controller.
     */
    static List<Warning> warnings(PolicySettings settings, int proxies) {
        List<Warning> warnings = new ArrayList<>();
        channelRate(settings, proxies).ifPresent(warnings::add);
        queueLimit(settings).ifPresent(warnings::add);
        messageLimit(settings).ifPresent(warnings::add);
        return warnings;
    }

    private static double drainTimeoutSeconds(PolicySettings settings) {
        return settings.drainTimeoutNanos() / NANOS_PER_SECOND;
    }

    private static double removalMessageEntries(PolicySettings settings) {
        return settings.messageOverheadEntries() + REMOVAL_ENTRIES;
    }

    private static Optional<Warning> channelRate(PolicySettings settings, int proxies) {
        double timeout = drainTimeoutSeconds(settings);
        double seconds =
                proxies * removalMessageEntries(settings) / settings.entriesPerSecond()
                        + settings.maxPropagationDelayNanos() / NANOS_PER_SECOND;
        return seconds > timeout
                ? warning(
                        Shortage.CHANNEL_RATE,
                        "removing one node from %d proxies takes the channel %.1f s, the drain"
                                + " timeout is %.1f s: drains can't finish in time if all proxies"
                                + " connect here",
                        proxies,
                        seconds,
                        timeout)
                : Optional.empty();
    }

    private static Optional<Warning> queueLimit(PolicySettings settings) {
        double removal = removalMessageEntries(settings);
        return settings.queueLimitEntries() < removal
                ? warning(
                        Shortage.QUEUE_LIMIT,
                        "the channel's queue holds %.0f entries, the shortest message has %.0f:"
                                + " nothing can be sent",
                        settings.queueLimitEntries(),
                        removal)
                : Optional.empty();
    }

    private static Optional<Warning> messageLimit(PolicySettings settings) {
        if (settings.messageLimit() == 0) {
            return Optional.empty();
        }
        double timeout = drainTimeoutSeconds(settings);
        double interval =
                settings.messageWindowNanos() / NANOS_PER_SECOND / settings.messageLimit();
        return interval > timeout
                ? warning(
                        Shortage.MESSAGE_LIMIT,
                        "a proxy may get one message in %.1f s, the drain timeout is %.1f s:"
                                + " drains can't finish in time",
                        interval,
                        timeout)
                : Optional.empty();
    }

    private static Optional<Warning> warning(Shortage shortage, String format, Object... values) {
        return Optional.of(new Warning(shortage, String.format(Locale.ROOT, format, values)));
    }
}
