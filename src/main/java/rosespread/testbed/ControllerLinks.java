package rosespread.testbed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import rosespread.channel.Frame;

/**
 * Simulated network links from controllers to proxies. Each message has a random delay; while a
 * controller's link is slowed down, its messages are sent one after the other. Messages reach a
 * proxy in order. Confined to the loop's thread.
 */
final class ControllerLinks {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Link from one controller to all proxies. */
    private static final class Link {
        double slowdown = 1;
        long idleFromNanos;
        double entriesOnLink;
    }

    private final TestLoop loop;
    private final SiteDefinition.Proxies proxies;
    private final RandomGenerator random;
    private final TrafficRecorder recorder;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Long> lastDueNanosByProxy = new HashMap<>();
    private final Map<String, ArrayDeque<Runnable>> inTransitByProxy = new HashMap<>();

    ControllerLinks(
            TestLoop loop,
            SiteDefinition.Proxies proxies,
            RandomGenerator random,
            TrafficRecorder recorder) {
        this.loop = loop;
        this.proxies = proxies;
        this.random = random;
        this.recorder = recorder;
    }

    /**
     * Sets the factor by which a controller's link sends entries more slowly; 1 is normal speed.
     */
    void setSlowdown(String controller, double factor) {
        link(controller).slowdown = factor;
    }

    /**
     * Sends a message over the controller's link to a proxy.
     *
     * @param delivery run on the loop's thread when the message reaches the proxy
     */
    void transmit(String proxy, String controller, Frame.Mark mark, Runnable delivery) {
        Link link = link(controller);
        long now = loop.now();
        long sentNanos = scheduleOnLink(link, mark, now);
        recorder.messageArrived(now, proxy, controller, mark, link.entriesOnLink);
        long dueNanos =
                Math.max(lastDueNanosByProxy.getOrDefault(proxy, 0L), sentNanos + drawDelayNanos());
        lastDueNanosByProxy.put(proxy, dueNanos);
        // Two timers due at the same time may fire in either order. Each timer delivers the oldest
        // message in transit, which keeps the order of the stream.
        ArrayDeque<Runnable> inTransit =
                inTransitByProxy.computeIfAbsent(proxy, name -> new ArrayDeque<>());
        inTransit.addLast(delivery);
        loop.after(dueNanos - now, () -> inTransit.removeFirst().run());
    }

    /**
     * Returns the time at which the link has sent the message: now, unless the link is slow or
     * still busy.
     */
    private long scheduleOnLink(Link link, Frame.Mark mark, long now) {
        if (link.slowdown <= 1 && link.idleFromNanos <= now) {
            return now;
        }
        double nanos =
                mark.lines()
                        / proxies.entriesPerSecond()
                        * NANOS_PER_SECOND
                        * Math.max(1, link.slowdown);
        link.idleFromNanos = Math.max(link.idleFromNanos, now) + (long) nanos;
        link.entriesOnLink += mark.lines();
        loop.after(link.idleFromNanos - now, () -> link.entriesOnLink -= mark.lines());
        return link.idleFromNanos;
    }

    private long drawDelayNanos() {
        double drawn = -Math.log(1 - random.nextDouble()) * proxies.meanDelayNanos();
        return Math.min(proxies.maxDelayNanos(), (long) drawn);
    }

    private Link link(String controller) {
        return links.computeIfAbsent(controller, name -> new Link());
    }
}
