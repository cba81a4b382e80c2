package rosespread.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import rosespread.api.PolicySettings;

/** The slow channel to all proxies, and the acknowledgements of the messages it has delivered. */
final class SimulatedChannel {
    private static final long SECOND = FleetSimulator.SECOND;
    private static final long MAX_DELAY = SECOND / 10;
    private static final long MAX_LATE_DELAY = 5 * SECOND;

    private record Acknowledgement(
            long at, int order, SimulatedProxy proxy, int session, int token, long latency) {}

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final PriorityQueue<Acknowledgement> acknowledgements =
            new PriorityQueue<>(
                    Comparator.comparing(Acknowledgement::at)
                            .thenComparing(Acknowledgement::order));
    private long freeAt;
    private int sentMessages;

    SimulatedChannel(PolicySettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Drops all acknowledgements, since all streams have ended. */
    void clear() {
        acknowledgements.clear();
    }

    /** Passes on the acknowledgements that are due, except those of streams that have ended. */
    void deliverAcknowledgements(long now, PolicyDriver driver) {
        while (!acknowledgements.isEmpty() && acknowledgements.peek().at() <= now) {
            Acknowledgement due = acknowledgements.remove();
            if (due.proxy().joined && due.proxy().session == due.session()) {
                driver.acknowledge(due.proxy().id, due.token(), due.latency());
            }
        }
    }

    /** Queues a message with this number of entries. */
    void send(SimulatedProxy proxy, int token, int entries, long now) {
        freeAt =
                Math.max(now, freeAt)
                        + (long)
                                ((entries + settings.messageOverheadEntries() + 1)
                                        / settings.entriesPerSecond()
                                        * SECOND);
        long delay =
                proxy.acknowledgement == SimulatedProxy.Acknowledgement.LATE
                        ? random.nextLong(MAX_LATE_DELAY)
                        : random.nextLong(MAX_DELAY);
        long at = freeAt + settings.maxPropagationDelayNanos() / 2 + delay;
        if (proxy.acknowledgement != SimulatedProxy.Acknowledgement.NEVER) {
            acknowledgements.add(
                    new Acknowledgement(at, sentMessages++, proxy, proxy.session, token, at - now));
        }
    }
}
