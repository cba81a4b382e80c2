package rosespread.platform;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.PolicySettings;

/**
 * The paced channel to all proxies: so many entries a second, first in, first out, then a delay.
 */
final class SimulatedChannel {
    /** A message to a proxy, on the stream that it had at the time. */
    private record Message(
            SimulatedProxy proxy,
            long joinedNanos,
            List<UpdatePart> parts,
            int mark,
            double entries,
            long writtenNanos) {}

    /**
     * A message that has arrived.
     *
     * @param latencyNanos from its writing to its leaving the queue
     */
    record Delivery(
            SimulatedProxy proxy,
            long joinedNanos,
            List<UpdatePart> parts,
            int mark,
            long arrivalNanos,
            long latencyNanos) {}

    private final PolicySettings settings;
    private final ArrayDeque<Message> queue = new ArrayDeque<>();
    private final ArrayDeque<Delivery> inTransit = new ArrayDeque<>();
    private double queuedEntries;
    private double credit;

    SimulatedChannel(PolicySettings settings) {
        this.settings = settings;
    }

    void write(SimulatedProxy proxy, List<UpdatePart> parts, int mark, long now) {
        double entries = entries(parts, mark);
        queuedEntries += entries;
        queue.addLast(new Message(proxy, proxy.joinedNanos(), parts, mark, entries, now));
    }

    private double entries(List<UpdatePart> parts, int mark) {
        double entries = settings.messageOverheadEntries() + (mark >= 0 ? 1 : 0);
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

    /** The stream broke; what is queued for it goes with it. */
    void drop(SimulatedProxy proxy) {
        queue.removeIf(message -> message.proxy() == proxy);
        queuedEntries = queue.stream().mapToDouble(Message::entries).sum();
    }

    double queuedEntries() {
        return queuedEntries;
    }

    /** Lets a step of time pass and hands over what has arrived by its end. */
    void advance(long now, long stepNanos, Consumer<Delivery> receiver) {
        double entriesPerStep = settings.entriesPerSecond() * stepNanos / FleetModel.SECOND;
        credit = queue.isEmpty() ? 0 : credit + entriesPerStep;
        while (!queue.isEmpty() && queue.peekFirst().entries() <= credit) {
            send(queue.removeFirst(), now);
        }
        while (!inTransit.isEmpty() && inTransit.peekFirst().arrivalNanos() <= now) {
            receiver.accept(inTransit.removeFirst());
        }
    }

    private void send(Message message, long now) {
        credit -= message.entries();
        queuedEntries -= message.entries();
        inTransit.addLast(
                new Delivery(
                        message.proxy(),
                        message.joinedNanos(),
                        message.parts(),
                        message.mark(),
                        now + settings.maxPropagationDelayNanos() / 2,
                        now - message.writtenNanos()));
    }
}
