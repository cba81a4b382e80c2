package rosespread.store;

import java.util.List;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;

/**
 * All that is kept, at one moment; {@code layout} is 0 before any settings, {@code drains} are
 * operators' words on nodes in the order in which they were taken.
 */
public record StoreSnapshot(long layout, List<TableSnapshot> tables, List<Drain> drains) {
    public static final StoreSnapshot EMPTY = new StoreSnapshot(0, List.of(), List.of());
}
