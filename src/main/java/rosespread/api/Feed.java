package rosespread.api;

/** One round's events. */
@FunctionalInterface
public interface Feed {
    /** Hands every event to the observer, in order. */
    void to(Observer observer);
}
