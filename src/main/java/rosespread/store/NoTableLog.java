package rosespread.store;

/** A log that persists nothing: every entry counts as durable immediately. */
final class NoTableLog implements TableLog {
    @Override
    public long append(LogEntry entry) {
        return 0;
    }

    @Override
    public long durable() {
        return Long.MAX_VALUE;
    }

    @Override
    public boolean needsSnapshot() {
        return false;
    }

    @Override
    public void writeSnapshot(StoreSnapshot snapshot) {}

    @Override
    public String fault() {
        return "";
    }

    @Override
    public long bytes() {
        return 0;
    }
}
