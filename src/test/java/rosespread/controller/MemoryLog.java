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
    final LogReplay replay;
    private final List<LogEntry> notDurable = new ArrayList<>();
    private long appended;
    private long durable;
    boolean stalled;
    String trouble = "";

    MemoryLog(StoreSnapshot image) {
        replay = new LogReplay(image);
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

    void makeDurable() {
        try {
            for (LogEntry entry : notDurable) {
                replay.take(entry);
            }
        } catch (StoreException e) {
            throw new AssertionError(e);
        }
        notDurable.clear();
        durable = appended;
    }

    @Override
    public long durable() {
        return durable;
    }

    @Override
    public boolean wantsImage() {
        return false;
    }

    @Override
    public void image(StoreSnapshot image) {}

    @Override
    public String trouble() {
        return trouble;
    }

    @Override
    public long bytes() {
        return 0;
    }
}
