package rosespread.policy.state;

import java.util.ArrayDeque;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.stats.WindowedRate;

/**
 * A joined proxy: its shard, the shard whose table updates it receives, the messages sent to it and
 * its demand reports. A proxy is a member of exactly one shard; until it is subscribed there, it
 * may still receive the table updates of the shard that it was moved from.
 */
public final class Proxy {
    private final ProxyId id;
    private final ZoneId zone;
    private final double usualRate;
    private final TreeMap<MethodId, WindowedRate> offered = new TreeMap<>();
    private final ArrayDeque<Long> messageTimes = new ArrayDeque<>();
    private ProxyShard shard;
    private ProxyShard followed;
    private long waitingSince;
    private boolean subscribed;
    private boolean needsFullTable = true;
    private long fullTableSequence;
    private long fullTableSentAt;
    private long acknowledgedSequence;
    private int unacknowledgedFullTables;

    /**
     * Creates a proxy that is a member of a shard and has no subscription.
     *
     * @param id the proxy's identity
     * @param zone the zone that the proxy runs in
     * @param usualRate the proxy's usual RPCs per second
     * @param shard the shard that the proxy joins
     * @param now clock reading in nanoseconds
     */
    public Proxy(ProxyId id, ZoneId zone, double usualRate, ProxyShard shard, long now) {
        this.id = id;
        this.zone = zone;
        this.usualRate = usualRate;
        this.waitingSince = now;
        join(shard);
    }

    /** The proxy's identity. */
    public ProxyId id() {
        return id;
    }

    /** The zone that the proxy runs in. */
    public ZoneId zone() {
        return zone;
    }

    /** The proxy's usual RPCs per second. */
    public double usualRate() {
        return usualRate;
    }

    /** The shard that the proxy is a member of. */
    public ProxyShard shard() {
        return shard;
    }

    private void join(ProxyShard next) {
        shard = next;
        next.addMember(this);
    }

    /**
     * Makes the proxy a member of another shard. The proxy receives the updates of its former
     * shard's tables until it is subscribed in the new shard.
     */
    public void moveTo(ProxyShard next) {
        shard.removeMember(this);
        join(next);
    }

    /**
     * Removes the proxy from its shard and from the followers of the shard whose table updates it
     * received, as the proxy's stream has ended.
     */
    public void leave() {
        shard.removeMember(this);
        follow(null);
    }

    private void follow(ProxyShard next) {
        if (followed != null) {
            followed.removeFollower();
        }
        if (next != null) {
            next.addFollower();
        }
        followed = next;
        subscribed = next != null;
    }

    /**
     * Subscribes the proxy to its shard's tables, which are sent to it in full. The proxy then
     * receives the table updates of no other shard.
     *
     * @param sequence sequence number of the message that carries the tables
     * @param now clock reading in nanoseconds
     */
    public void subscribe(long sequence, long now) {
        follow(shard);
        unacknowledgedFullTables++;
        needsFullTable = false;
        fullTableSequence = sequence;
        fullTableSentAt = now;
    }

    /**
     * Ends the subscription so that the proxy can move to another shard; until it is subscribed
     * there, the proxy still receives the updates of the former shard's tables.
     *
     * @param departedAt clock reading in nanoseconds at which the first of the departed nodes in
     *     the proxy's tables left
     */
    public void endSubscription(long departedAt) {
        waitingSince = subscribed ? Math.max(departedAt, waitingSince) : waitingSince;
        subscribed = false;
        needsFullTable = true;
    }

    /** Whether the proxy is subscribed to its shard's tables. */
    public boolean subscribed() {
        return subscribed;
    }

    /** Clock reading in nanoseconds since which the proxy may hold entries of departed nodes. */
    public long waitingSince() {
        return waitingSince;
    }

    /** Whether full tables must be sent to the proxy. */
    public boolean needsFullTable() {
        return needsFullTable;
    }

    /** Requires that full tables are sent to the proxy. */
    public void requireFullTable() {
        needsFullTable = true;
    }

    /** Whether the last full tables were sent before the message with this sequence number. */
    public boolean fullTableSentBefore(long sequence) {
        return fullTableSequence < sequence;
    }

    /** Whether the proxy has not acknowledged its last full tables yet. */
    public boolean fullTableUnacknowledged() {
        return subscribed && fullTableSequence > acknowledgedSequence;
    }

    /** Number of full tables sent since the proxy last acknowledged one. */
    public int unacknowledgedFullTables() {
        return unacknowledgedFullTables;
    }

    /** Whether the proxy has not acknowledged its last full tables within the timeout. */
    public boolean fullTableTimedOut(long now, long timeoutNanos) {
        return fullTableUnacknowledged() && now - fullTableSentAt > timeoutNanos;
    }

    /** Records that the proxy acknowledged this message, and thereby all earlier ones. */
    public void acknowledged(long sequence) {
        acknowledgedSequence = sequence;
        unacknowledgedFullTables = fullTableUnacknowledged() ? unacknowledgedFullTables : 0;
    }

    /** The rate of requests offered for a method, null before the first report. */
    public WindowedRate offeredRate(MethodId method) {
        return offered.get(method);
    }

    /** The rate of requests offered for a method, created if there is none; callers add to it. */
    public WindowedRate findOrAddOfferedRate(MethodId method) {
        return offered.computeIfAbsent(method, m -> new WindowedRate());
    }

    /** Records that a message was written to the proxy. */
    public void messageWritten(long now) {
        messageTimes.addLast(now);
    }

    /** Number of messages written to the proxy within the window. */
    public int messages(long now, long windowNanos) {
        while (!messageTimes.isEmpty() && now - messageTimes.peekFirst() > windowNanos) {
            messageTimes.removeFirst();
        }
        return messageTimes.size();
    }
}
