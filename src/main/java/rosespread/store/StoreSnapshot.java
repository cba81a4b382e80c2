package rosespread.store;

import java.util.List;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;

/**
 * The stored state of all tables and drains at one moment.
 *
 * @param layout a digest of the settings that determine the layout of tables, 0 before any settings
 * @param tables all tables with a committed version
 * @param drains operators' drains and their ends, in the order to apply them
 */
public record StoreSnapshot(long layout, List<TableSnapshot> tables, List<Drain> drains) {
    /** The snapshot of a new store. */
    public static final StoreSnapshot EMPTY = new StoreSnapshot(0, List.of(), List.of());
}
