package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import rosespread.store.LogEntry;
import rosespread.store.LogReplay;
import rosespread.store.StoreException;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableLog;

/** A log in memory that makes entries durable at once, or not while a test stalls it. */
final class MemoryLog implements TableLog {
    private final LogReplay durableEntries;
    private final List<LogEntry> notDurable = new ArrayList<>();
    private long appended;
    private long durable;
    private boolean stalled;
    private String trouble = "";

    MemoryLog(StoreSnapshot persisted) {
        durableEntries = new LogReplay(persisted);
    }

    @Override
    public long append(LogEntry entry) {
        notDurable.add(entry);
        appended++;
        if (!stalled) {
            makeDurable();
        }
        return appended;
    }

    /** From now on nothing becomes durable by itself. */
    void stall() {
        stalled = true;
    }

    /** As {@link #stall}, and the log says why. */
    void fail(String reason) {
        stalled = true;
        trouble = reason;
    }

    /** From now on entries become durable at once; those before wait for {@link #makeDurable}. */
    void resume() {
        stalled = false;
        trouble = "";
    }

    boolean isStalled() {
        return stalled;
    }

    /** Makes all entries so far durable. */
    void makeDurable() {
        try {
            for (LogEntry entry : notDurable) {
                durableEntries.apply(entry);
            }
        } catch (StoreException e) {
            throw new AssertionError(e);
        }
        notDurable.clear();
        durable = appended;
    }

    /** Returns what a restart finds. */
    StoreSnapshot persisted() {
        return durableEntries.snapshot();
    }

    @Override
    public long durable() {
        return durable;
    }

    @Override
    public boolean needsSnapshot() {
        return false;
    }

    @Override
    public void writeSnapshot(StoreSnapshot image) {}

    @Override
    public String fault() {
        return trouble;
    }

    @Override
    public long bytes() {
        return 0;
    }
}
