package rosespread.conductor;

import java.util.ArrayList;
import java.util.List;
import rosespread.store.Entry;
import rosespread.store.Image;
import rosespread.store.Replay;
import rosespread.store.StoreException;
import rosespread.store.TableLog;

/** A disk in memory that keeps what it is told to keep. */
final class MemoryLog implements TableLog {
    final Replay kept;
    private final List<Entry> waiting = new ArrayList<>();
    private long appended;
    private long durable;
    boolean stands;
    String trouble = "";

    MemoryLog(Image image) {
        kept = new Replay(image);
    }

    @Override
    public long append(Entry entry) {
        waiting.add(entry);
        appended++;
        if (!stands) {
            keep();
        }
        return appended;
    }

    void keep() {
        try {
            for (Entry entry : waiting) {
                kept.take(entry);
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
    public boolean wantsImage() {
        return false;
    }

    @Override
    public void image(Image image) {}

    @Override
    public String trouble() {
        return trouble;
    }

    @Override
    public long bytes() {
        return 0;
    }
}
