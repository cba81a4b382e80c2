package rosespread.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import rosespread.api.PolicySettings;

/**
 * Finds at the start where the settings leave no way to drain nodes in time, however well it is
 * decided: a channel too slow for the number of proxies, a queue too short for a message, or too
 * low a limit on messages.
 */
final class ChannelCapacityCheck {
    private static final double NANOS_PER_SECOND = 1e9;

    /** What the shortest message that removes a node has besides its overhead: entry and token. */
    private static final int ENTRIES_OF_REMOVAL = 2;

    /** What does not fit. */
    enum Shortage {
        CHANNEL_RATE,
        QUEUE_LIMIT,
        MESSAGE_LIMIT
    }

    /**
     * One shortage.
     *
     * @param text a sentence for operators
     */
    record Warning(Shortage shortage, String text) {}

    private ChannelCapacityCheck() {}

    /** One warning for each shortage while this many proxies are at one controller. */
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

    private static double entriesOfRemoval(PolicySettings settings) {
        return settings.messageOverheadEntries() + ENTRIES_OF_REMOVAL;
    }

    private static Optional<Warning> channelRate(PolicySettings settings, int proxies) {
        double timeout = drainTimeoutSeconds(settings);
        double seconds =
                proxies * entriesOfRemoval(settings) / settings.entriesPerSecond()
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
        double removal = entriesOfRemoval(settings);
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
