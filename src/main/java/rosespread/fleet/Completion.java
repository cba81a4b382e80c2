package rosespread.fleet;

import java.util.List;

/** Whether an operation succeeded at every controller of a fleet, at some or at none. */
public enum Completion {
    /** The operation succeeded at every controller. */
    ALL,
    /** The operation succeeded at one or more controllers, but not at every one. */
    SOME,
    /** The operation succeeded at no controller. */
    NONE;

    /** Returns the completion of a request, given the responses of all controllers. */
    public static Completion of(List<FleetResponse> responses) {
        long done = responses.stream().filter(FleetResponse::isOk).count();
        return of(done, responses.size());
    }

    static Completion of(long done, long total) {
        if (done == total) {
            return ALL;
        }
        return done == 0 ? NONE : SOME;
    }
}
