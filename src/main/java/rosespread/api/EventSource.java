package rosespread.api;

/** One round's events. */
@FunctionalInterface
public interface EventSource {
    /** Hands every event to the handler, in the order of arrival, on the caller's thread. */
    void deliverTo(EventHandler handler);
}
