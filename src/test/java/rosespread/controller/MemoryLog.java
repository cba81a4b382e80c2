package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import rosespread.store.LogEntry;
import rosespread.store.LogReplay;
import rosespread.store.StoreException;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableLog;

/** An in-memory log that makes entries durable at once unless a test stalls it. */
final class MemoryLog implements TableLog {
    private final LogReplay durableEntries;
    private final List<LogEntry> notDurable = new ArrayList<>();
    private long appended;
    private long durable;
    private boolean stalled;
    private String fault = "";

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

    /** Stops making entries durable; only {@link #makeDurable} does. */
    void stall() {
        stalled = true;
    }

    /** Stalls as {@link #stall} does, and reports this reason as the fault. */
    void fail(String reason) {
        stalled = true;
        fault = reason;
    }

    /** Makes new entries durable at once again; earlier ones wait for {@link #makeDurable}. */
    void resume() {
        stalled = false;
        fault = "";
    }

    boolean isStalled() {
        return stalled;
    }

    /** Makes all entries appended so far durable. */
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

    /** Returns the snapshot that a restart restores. */
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
    public void writeSnapshot(StoreSnapshot snapshot) {}

    @Override
    public String fault() {
        return fault;
    }

    @Override
    public long bytes() {
        return 0;
    }
}
