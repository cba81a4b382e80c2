package rosespread.policy;

import java.util.TreeMap;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.stats.InFlightMessages;

/**
 * What the round has written so far. All actions of a round are one message for each proxy reached,
 * with one acknowledgement token.
 */
final class OutgoingRound {
    /** The bits of a sequence number that travel as the acknowledgement token. */
    private static final int TOKEN_BITS = 0xFFFF;

    private final ProxyRegistry proxies;
    private final InFlightMessages inFlight;
    private final double messageOverhead;
    private final TreeMap<ProxyId, Double> entriesByProxy = new TreeMap<>();
    private double entries;
    private long closedSequence;

    OutgoingRound(PolicySettings settings, ProxyRegistry proxies, InFlightMessages inFlight) {
        this.proxies = proxies;
        this.inFlight = inFlight;
        this.messageOverhead = settings.messageOverheadEntries() + 1;
    }

    /** What a message costs besides its entries, counted in entries: its head and the token. */
    double messageOverhead() {
        return messageOverhead;
    }

    /** Counts entries written to a proxy. */
    void add(Proxy proxy, double count) {
        entries += count + (entriesByProxy.containsKey(proxy.id()) ? 0 : messageOverhead);
        entriesByProxy.merge(proxy.id(), messageOverhead + count, (old, more) -> old + count);
    }

    /** Whether the round has written to the proxy, so that more costs no further message. */
    boolean hasMessageFor(Proxy proxy) {
        return entriesByProxy.containsKey(proxy.id());
    }

    /** Entries of all messages of the round, overheads included. */
    double entries() {
        return entries;
    }

    /** The sequence number of the round's messages. */
    long sequence() {
        return closedSequence + 1;
    }

    /** Closes the round's messages, if any, and asks for their acknowledgement. */
    void close(RoundContext round) {
        if (entriesByProxy.isEmpty()) {
            return;
        }
        closedSequence++;
        round.actions().requestAcknowledgement((int) (closedSequence & TOKEN_BITS));
        entriesByProxy.forEach(
                (id, count) -> {
                    inFlight.written(id, closedSequence, count, round.now());
                    proxies.find(id).messageWritten(round.now());
                });
        entriesByProxy.clear();
        entries = 0;
    }
}
