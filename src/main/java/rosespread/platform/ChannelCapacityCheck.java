package rosespread.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rosespread.api.PolicySettings;

/**
 * Tells operators at the start where the settings leave no way to keep the rule on drains, however
 * well it is decided: a channel too slow for the number of proxies, a queue without room, or too
 * few messages.
 */
final class ChannelCapacityCheck {
    private static final double NANOS = 1e9;

    private ChannelCapacityCheck() {}

    /**
     * One sentence for each thing that does not fit while all of these proxies are at one
     * conductor.
     */
    static List<String> warnings(PolicySettings settings, int proxies) {
        List<String> warnings = new ArrayList<>();
        double grace = settings.drainTimeoutNanos() / NANOS;
        // A message that takes one node out: its head, the line and the mark that asks for an
        // answer.
        double removal = settings.messageOverheadEntries() + 2;
        double toAll =
                proxies * removal / settings.entriesPerSecond()
                        + settings.maxPropagationDelayNanos() / NANOS;
        if (toAll > grace) {
            warnings.add(
                    text(
                            "to take one node out at %d proxies takes the channel %.1f s, the drain grace is"
                                    + " %.1f s: drains can't be kept if all proxies come here",
                            proxies, toAll, grace));
        }
        if (settings.queueLimitEntries() < removal) {
            warnings.add(
                    text(
                            "the channel's queue takes %.0f lines, the shortest message has %.0f: nothing"
                                    + " can be told",
                            settings.queueLimitEntries(), removal));
        }
        double apart =
                settings.messageLimit() == 0
                        ? 0
                        : settings.messageWindowNanos() / NANOS / settings.messageLimit();
        if (apart > grace) {
            warnings.add(
                    text(
                            "a proxy may be written to once in %.1f s, the drain grace is %.1f s: drains"
                                    + " can't be kept",
                            apart, grace));
        }
        return warnings;
    }

    private static String text(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
