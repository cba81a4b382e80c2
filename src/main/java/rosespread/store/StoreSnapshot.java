package rosespread.store;

import java.util.List;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;

/**
 * All that the store keeps, at one moment.
 *
 * @param layout a digest of the settings that tables are laid out by, 0 before any settings
 * @param tables all tables with a committed version
 * @param drains operators' drains and their ends, in the order in which they are to be applied
 */
public record StoreSnapshot(long layout, List<TableSnapshot> tables, List<Drain> drains) {
    /** Before anything was stored. */
    public static final StoreSnapshot EMPTY = new StoreSnapshot(0, List.of(), List.of());
}
