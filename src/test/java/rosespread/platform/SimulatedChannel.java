package rosespread.platform;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.PolicySettings;

/**
 * The paced channel to all proxies: a first-in, first-out queue with a fixed rate in entries per
 * second, followed by a fixed delay.
 */
final class SimulatedChannel {
    /** A message to a proxy, on the stream that the proxy joined with at {@code joinedNanos}. */
    private record Message(
            SimulatedProxy proxy,
            long joinedNanos,
            List<UpdatePart> parts,
            int policyToken,
            double entries,
            long writtenNanos) {}

    /**
     * A message that has arrived.
     *
     * @param latencyNanos time from writing the message until it left the queue
     */
    record Delivery(
            SimulatedProxy proxy,
            long joinedNanos,
            List<UpdatePart> parts,
            int policyToken,
            long arrivalNanos,
            long latencyNanos) {}

    private final PolicySettings settings;
    private final ArrayDeque<Message> queue = new ArrayDeque<>();
    private final ArrayDeque<Delivery> inTransit = new ArrayDeque<>();
    private double queuedEntries;
    private double creditEntries;

    SimulatedChannel(PolicySettings settings) {
        this.settings = settings;
    }

    void write(SimulatedProxy proxy, List<UpdatePart> parts, int policyToken, long now) {
        double entries = entries(parts, policyToken);
        queuedEntries += entries;
        queue.addLast(new Message(proxy, proxy.joinedNanos(), parts, policyToken, entries, now));
    }

    private double entries(List<UpdatePart> parts, int policyToken) {
        double entries = settings.messageOverheadEntries() + (policyToken >= 0 ? 1 : 0);
        for (UpdatePart part : parts) {
            entries +=
                    (part.full() ? 1 : 0)
                            + part.weights().size()
                            + part.excluded().size()
                            + part.readmitted().size()
                            + (part.setsLimit() ? 1 : 0);
        }
        return entries;
    }

    /** Drops the messages queued for a proxy whose stream broke. */
    void drop(SimulatedProxy proxy) {
        queue.removeIf(message -> message.proxy() == proxy);
        queuedEntries = queue.stream().mapToDouble(Message::entries).sum();
    }

    double queuedEntries() {
        return queuedEntries;
    }

    /** Sends what the channel can in a step that ends now; passes on messages that have arrived. */
    void advance(long now, long stepNanos, Consumer<Delivery> receiver) {
        double entriesPerStep = settings.entriesPerSecond() * stepNanos / FleetModel.SECOND;
        creditEntries = queue.isEmpty() ? 0 : creditEntries + entriesPerStep;
        while (!queue.isEmpty() && queue.peekFirst().entries() <= creditEntries) {
            send(queue.removeFirst(), now);
        }
        while (!inTransit.isEmpty() && inTransit.peekFirst().arrivalNanos() <= now) {
            receiver.accept(inTransit.removeFirst());
        }
    }

    private void send(Message message, long now) {
        creditEntries -= message.entries();
        queuedEntries -= message.entries();
        inTransit.addLast(
                new Delivery(
                        message.proxy(),
                        message.joinedNanos(),
                        message.parts(),
                        message.policyToken(),
                        now + settings.maxPropagationDelayNanos() / 2,
                        now - message.writtenNanos()));
    }
}
