package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import rosespread.store.LogEntry;
import rosespread.store.LogReplay;
import rosespread.store.StoreException;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableLog;

/** A disk in memory that keeps what it is told to keep. */
final class MemoryLog implements TableLog {
    final LogReplay kept;
    private final List<LogEntry> waiting = new ArrayList<>();
    private long appended;
    private long durable;
    boolean stands;
    String trouble = "";

    MemoryLog(StoreSnapshot image) {
        kept = new LogReplay(image);
    }

    @Override
    public long append(LogEntry entry) {
        waiting.add(entry);
        appended++;
        if (!stands) {
            keep();
        }
        return appended;
    }

    void keep() {
        try {
            for (LogEntry entry : waiting) {
                kept.apply(entry);
            }
        } catch (StoreException e) {
            throw new AssertionError(e);
        }
        waiting.clear();
        durable = appended;
    }

    @Override
    public long durable() {
        return durable;
    }

    @Override
    public boolean wantsSnapshot() {
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
