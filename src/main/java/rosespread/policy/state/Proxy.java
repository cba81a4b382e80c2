package rosespread.policy.state;

import java.util.ArrayDeque;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.stats.WindowedRate;

/**
 * A joined proxy: its shard, the shard whose tables it is subscribed to, what it was written and
 * what it reports. It is a member of one shard at any time; until it is subscribed there it may
 * follow the tables of the shard that it was moved from.
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

    /**
     * Joins a shard without a subscription.
     *
     * @param id the proxy's identity
     * @param zone where it runs
     * @param usualRate its usual RPCs a second
     * @param shard whose member it becomes
     * @param now the clock reading in nanoseconds
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

    /** The zone that it runs in. */
    public ZoneId zone() {
        return zone;
    }

    /** Its usual RPCs a second. */
    public double usualRate() {
        return usualRate;
    }

    /** The shard that it is a member of. */
    public ProxyShard shard() {
        return shard;
    }

    private void join(ProxyShard next) {
        shard = next;
        next.addMember(this);
    }

    /** Makes it a member of another shard; it follows the former one's tables until subscribed. */
    public void moveTo(ProxyShard next) {
        shard.removeMember(this);
        join(next);
    }

    /** Its stream ended: it is a member of no shard and follows none. */
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
     * Subscribes it to its shard's tables, which it is sent in full; it stops following others.
     *
     * @param sequence of the message that carries the tables
     * @param now the clock reading in nanoseconds
     */
    public void subscribe(long sequence, long now) {
        follow(shard);
        needsFullTable = false;
        fullTableSequence = sequence;
        fullTableSentAt = now;
    }

    /**
     * Ends its subscription though it still follows the tables, so that it can move to another
     * shard.
     *
     * @param departedAt when the first node left that its tables still hold
     */
    public void endSubscription(long departedAt) {
        waitingSince = subscribed ? Math.max(departedAt, waitingSince) : waitingSince;
        subscribed = false;
        needsFullTable = true;
    }

    /** Whether it is subscribed to its shard's tables. */
    public boolean subscribed() {
        return subscribed;
    }

    /** Since when it may hold entries of nodes that left. */
    public long waitingSince() {
        return waitingSince;
    }

    /** Whether full tables must be sent to it. */
    public boolean needsFullTable() {
        return needsFullTable;
    }

    /** Has full tables sent to it. */
    public void requireFullTable() {
        needsFullTable = true;
    }

    /** Whether its last full tables were sent before this message. */
    public boolean fullTableSentBefore(long sequence) {
        return fullTableSequence < sequence;
    }

    /** Whether its last full tables were not acknowledged within this time. */
    public boolean fullTableTimedOut(long now, long timeoutNanos) {
        return subscribed
                && fullTableSequence > acknowledgedSequence
                && now - fullTableSentAt > timeoutNanos;
    }

    /** It acknowledged this message, and so all before. */
    public void acknowledged(long sequence) {
        acknowledgedSequence = sequence;
    }

    /** The rate offered of a method, null before any report. */
    public WindowedRate offeredRate(MethodId method) {
        return offered.get(method);
    }

    /** The rate offered of a method, to be added to. */
    public WindowedRate findOrAddOfferedRate(MethodId method) {
        return offered.computeIfAbsent(method, m -> new WindowedRate());
    }

    /** Notes that a message was written to it. */
    public void messageWritten(long now) {
        messageTimes.addLast(now);
    }

    /** How many messages it was written within the window. */
    public int messages(long now, long windowNanos) {
        while (!messageTimes.isEmpty() && now - messageTimes.peekFirst() > windowNanos) {
            messageTimes.removeFirst();
        }
        return messageTimes.size();
    }
}
