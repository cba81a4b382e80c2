package rosespread.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/** What happened at the sockets since the start; written by any thread. */
final class PlatformMetrics {
    final LongAdder opened = new LongAdder();
    final LongAdder strangersClosed = new LongAdder();
    final LongAdder evicted = new LongAdder();
    final LongAdder rejected = new LongAdder();
    final LongAdder garbled = new LongAdder();
    final LongAdder notAccepted = new LongAdder();
    private final Map<MalformedMessageException.Reason, LongAdder> dropped =
            new EnumMap<>(MalformedMessageException.Reason.class);

    PlatformMetrics() {
        for (MalformedMessageException.Reason reason : MalformedMessageException.Reason.values()) {
            dropped.put(reason, new LongAdder());
        }
    }

    void drop(MalformedMessageException.Reason reason) {
        dropped.get(reason).increment();
    }

    /** Messages dropped by reason, those that occurred. */
    String drops() {
        return dropped.entrySet().stream()
                .filter(e -> e.getValue().sum() > 0)
                .map(
                        e ->
                                e.getKey().name().toLowerCase(java.util.Locale.ROOT)
                                        + ":"
                                        + e.getValue().sum())
                .collect(Collectors.joining(","));
    }
}
