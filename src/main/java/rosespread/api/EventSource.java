package rosespread.api;

/** One round's events. */
@FunctionalInterface
public interface EventSource {
    /** Hands every event to the observer, in order. */
    void deliverTo(EventHandler observer);
}
