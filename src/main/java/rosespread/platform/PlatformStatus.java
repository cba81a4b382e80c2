package rosespread.platform;

import java.util.Map;
import rosespread.api.ZoneId;

/**
 * The event loop's counts at one moment; rounds, messages, bytes and reports are since the start.
 *
 * @param joinedProxies proxies with a session
 * @param subscribedProxies those of them that follow a table
 * @param excludedNodes nodes excluded from all proxies by the policy
 * @param maxRoundNanos the longest round so far
 * @param pendingAcknowledgements updates that are still to be acknowledged
 * @param maxPendingNanos how long the oldest of those has been waiting
 * @param unmatchedAcknowledgements acknowledgements that fitted no pending update of their session
 * @param reportsByZone load reports used, by the zone of their collector
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
        long unmatchedAcknowledgements,
        Map<ZoneId, Long> reportsByZone) {}
