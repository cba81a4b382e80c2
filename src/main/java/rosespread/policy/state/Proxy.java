package rosespread.policy.state;

import java.util.ArrayDeque;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.stats.WindowedRate;

/** A joined proxy: whose tables it follows, what it was written and what it reports. */
public final class Proxy {
    public final ProxyId id;
    public final ZoneId zone;
    public final double rate;
    public final TreeMap<MethodId, WindowedRate> offered = new TreeMap<>();
    public final ArrayDeque<Long> written = new ArrayDeque<>();
    public ProxyShard group;

    /** Since when it may hold lines of nodes that left. */
    public long waitsSince;

    public boolean bound;
    public boolean owed = true;
    public long wholeSequence;
    public long wholeAt;
    public long answered;
    private ProxyShard followed;

    public Proxy(ProxyId id, ZoneId zone, double rate, ProxyShard group, long now) {
        this.id = id;
        this.zone = zone;
        this.rate = rate;
        this.waitsSince = now;
        join(group);
    }

    private void join(ProxyShard next) {
        group = next;
        next.members.put(id, this);
    }

    /** Becomes a member of another group; it follows its old one's tables until it is bound. */
    public void move(ProxyShard next) {
        group.members.remove(id);
        join(next);
    }

    /** Its stream ended. */
    public void leave() {
        group.members.remove(id);
        follow(null);
    }

    /** Binds it to its group's tables; with them it stops following those of another group. */
    public void bind() {
        follow(group);
    }

    private void follow(ProxyShard next) {
        if (followed != null) {
            followed.followers--;
        }
        if (next != null) {
            next.followers++;
        }
        followed = next;
        bound = next != null;
    }

    /** How many messages it was written within the span. */
    public int messages(long now, long span) {
        while (!written.isEmpty() && now - written.peekFirst() > span) {
            written.removeFirst();
        }
        return written.size();
    }
}
