package rosespread.api;

/** The events of one round. */
@FunctionalInterface
public interface EventSource {
    /** Passes every event to the handler, in the order of arrival, on the caller's thread. */
    void deliverTo(EventHandler handler);
}
