package rosespread.testbed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import rosespread.channel.Frame;

/**
 * The links over which controllers' messages reach proxies: each message takes a drawn time, and
 * while a controller's link is slow, its messages pass one after the other. Messages reach a proxy
 * in order. Confined to the loop's thread.
 */
final class ControllerLinks {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The link of one controller. */
    private static final class Link {
        double slowdown = 1;
        long freeNanos;
        double entriesOnLink;
    }

    private final TestLoop loop;
    private final SiteDefinition.Proxies proxies;
    private final RandomGenerator random;
    private final TrafficRecorder recorder;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Long> lastDueByProxy = new HashMap<>();
    private final Map<String, ArrayDeque<Runnable>> onTheWayByProxy = new HashMap<>();

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

    /** A controller's link carries entries so many times slower from now on; 1 is as usual. */
    void setSlowdown(String controller, double factor) {
        link(controller).slowdown = factor;
    }

    /**
     * Brings a message over the controller's link to a proxy.
     *
     * @param delivery run when the message has come, on the loop's thread
     */
    void carry(String proxy, String controller, Frame.Mark mark, Runnable delivery) {
        Link link = link(controller);
        long now = loop.now();
        long leavesNanos = passLink(link, mark, now);
        recorder.messageArrived(now, proxy, controller, mark, link.entriesOnLink);
        long due = Math.max(lastDueByProxy.getOrDefault(proxy, 0L), leavesNanos + drawDelayNanos());
        lastDueByProxy.put(proxy, due);
        // Two timers for one moment may fire in either order; the stream's order must hold all the
        // same.
        ArrayDeque<Runnable> inOrder =
                onTheWayByProxy.computeIfAbsent(proxy, name -> new ArrayDeque<>());
        inOrder.addLast(delivery);
        loop.after(due - now, () -> inOrder.removeFirst().run());
    }

    /** Returns when the message leaves the link; at once unless it is slow or has been till now. */
    private long passLink(Link link, Frame.Mark mark, long now) {
        if (link.slowdown <= 1 && link.freeNanos <= now) {
            return now;
        }
        double nanos =
                mark.lines()
                        / proxies.entriesPerSecond()
                        * NANOS_PER_SECOND
                        * Math.max(1, link.slowdown);
        link.freeNanos = Math.max(link.freeNanos, now) + (long) nanos;
        link.entriesOnLink += mark.lines();
        loop.after(link.freeNanos - now, () -> link.entriesOnLink -= mark.lines());
        return link.freeNanos;
    }

    private long drawDelayNanos() {
        double drawn = -Math.log(1 - random.nextDouble()) * proxies.meanDelayNanos();
        return Math.min(proxies.maxDelayNanos(), (long) drawn);
    }

    private Link link(String controller) {
        return links.computeIfAbsent(controller, name -> new Link());
    }
}
