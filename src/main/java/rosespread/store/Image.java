package rosespread.store;

import java.util.List;
import rosespread.drain.Drain;
import rosespread.table.TableImage;

/**
 * All that is kept, at one moment; {@code layout} is 0 before any settings, {@code drains} are
 * operators' words on nodes in the order in which they were taken.
 */
public record Image(long layout, List<TableImage> tables, List<Drain> drains) {
    public static final Image EMPTY = new Image(0, List.of(), List.of());
}
