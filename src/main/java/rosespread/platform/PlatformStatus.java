package rosespread.platform;

import java.util.Map;
import rosespread.api.ZoneId;

/**
 * The event loop's counts at one moment; rounds, messages, bytes and reports count since startup.
 *
 * @param joinedProxies proxies with a session
 * @param subscribedProxies joined proxies that follow a table
 * @param excludedNodes nodes excluded from all proxies by the policy
 * @param maxRoundNanos the longest round so far
 * @param pendingAcknowledgements updates not acknowledged yet
 * @param maxPendingNanos age of the oldest update not acknowledged yet
 * @param queuedEntries entries that the policy counts as queued in the channel
 * @param unmatchedAcknowledgements acknowledgements that matched no pending update of their session
 * @param reportsByZone load reports used, by their zone
 */
record PlatformStatus(
        int joinedProxies,
        int subscribedProxies,
        int excludedNodes,
        int listedNodes,
        long rounds,
        long maxRoundNanos,
        long messages,
        long bytes,
        long pendingAcknowledgements,
        long maxPendingNanos,
        long queuedEntries,
        long unmatchedAcknowledgements,
        Map<ZoneId, Long> reportsByZone) {}
