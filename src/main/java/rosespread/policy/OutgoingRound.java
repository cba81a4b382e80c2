package rosespread.policy;

import java.util.TreeMap;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.stats.InFlightMessages;

/**
 * The messages that the current round has written so far. All actions of a round form one message
 * per receiving proxy, and all these messages have the same acknowledgement token.
 */
final class OutgoingRound {
    /** The bits of a sequence number that are sent as the acknowledgement token. */
    private static final int TOKEN_BITS = 0xFFFF;

    private final ProxyRegistry proxies;
    private final InFlightMessages inFlight;
    private final double messageOverhead;
    private final TreeMap<ProxyId, Double> entriesByProxy = new TreeMap<>();
    private double entries;
    private long lastClosedSequence;

    OutgoingRound(PolicySettings settings, ProxyRegistry proxies, InFlightMessages inFlight) {
        this.proxies = proxies;
        this.inFlight = inFlight;
        this.messageOverhead = settings.messageOverheadEntries() + 1;
    }

    /** Overhead of a message, counted in entries: its header and the acknowledgement token. */
    double messageOverhead() {
        return messageOverhead;
    }

    /**
     * Counts entries written to a proxy, and, once per round, the overhead of the proxy's message.
     */
    void add(Proxy proxy, double count) {
        entries += count + (entriesByProxy.containsKey(proxy.id()) ? 0 : messageOverhead);
        entriesByProxy.merge(proxy.id(), messageOverhead + count, (old, more) -> old + count);
    }

    /** Whether the round has written to the proxy, so that more entries need no new message. */
    boolean hasMessageFor(Proxy proxy) {
        return entriesByProxy.containsKey(proxy.id());
    }

    /** Entries of all messages of the round, overheads included. */
    double entries() {
        return entries;
    }

    /** The sequence number of the round's messages. */
    long sequence() {
        return lastClosedSequence + 1;
    }

    /** Closes the round's messages, if any, and requests their acknowledgement. */
    void close(RoundContext round) {
        if (entriesByProxy.isEmpty()) {
            return;
        }
        lastClosedSequence++;
        round.actions().requestAcknowledgement((int) (lastClosedSequence & TOKEN_BITS));
        entriesByProxy.forEach(
                (id, count) -> {
                    inFlight.written(id, lastClosedSequence, count, round.now());
                    proxies.find(id).messageWritten(round.now());
                });
        entriesByProxy.clear();
        entries = 0;
    }
}
