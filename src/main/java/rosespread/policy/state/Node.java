package rosespread.policy.state;

import java.util.TreeMap;
import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.NodeId;
import rosespread.api.ZoneId;
import rosespread.stats.DecayingSum;
import rosespread.stats.WindowedRate;

/** A node as the list and the reports tell of it. */
public final class Node {
    /** A time before all others; differences to it do not overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    public final NodeId id;
    public MachineTypeId kind;
    public ZoneId zone;
    public double listed = 1;
    public long up = Long.MIN_VALUE;
    public double skill = 1;
    public final TreeMap<ZoneId, WindowedRate> answered = new TreeMap<>();
    public final TreeMap<ZoneId, WindowedRate> tried = new TreeMap<>();
    public WindowedRate load;
    public WindowedRate latency;
    public WindowedRate busy;
    public DecayingSum tries;
    public DecayingSum unanswered;
    public boolean sick;
    public boolean stepped;
    public boolean withdrawn;
    public long sickSince;
    public long probedAt;
    public long answeredAt = NEVER;
    public long removedAt = NEVER;
    public long leftAt = NEVER;
    private EventHandler.NodeState state = EventHandler.NodeState.GONE;

    /**
     * @param healthWindow nanoseconds over which evidence of health decays
     */
    public Node(NodeId id, long healthWindow) {
        this.id = id;
        restart(Long.MIN_VALUE, healthWindow);
    }

    public boolean ready() {
        return state == EventHandler.NodeState.READY;
    }

    /** Takes the listed state; the time is kept at which it last ceased to be ready. */
    public void become(EventHandler.NodeState next, long now) {
        leftAt =
                next != EventHandler.NodeState.READY && (ready() || leftAt == NEVER) ? now : leftAt;
        state = next;
    }

    /**
     * A process that has just started tells nothing of the machine; its skill is kept from before.
     */
    public void restart(long at, long healthWindow) {
        up = at;
        answered.clear();
        tried.clear();
        load = new WindowedRate();
        latency = new WindowedRate();
        busy = new WindowedRate();
        tries = new DecayingSum(healthWindow);
        unanswered = new DecayingSum(healthWindow);
        sick = false;
    }

    /** Whether it started less than the stated time to warm up ago. */
    public boolean cold(long now, long coldTime) {
        return up != Long.MIN_VALUE && now - up < coldTime;
    }

    /** Its listed weight by what it has shown since. */
    public double size() {
        return listed * skill;
    }

    public double unansweredShare(long now) {
        return unanswered.read(now) / Math.max(1e-9, tries.read(now));
    }
}
