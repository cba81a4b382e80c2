package rosespread.fleet;

import java.util.List;

/** How much of a fleet an operation reached. */
public enum Completion {
    /** Every controller did it. */
    ALL,
    /** At least one controller did it and at least one did not. */
    SOME,
    /** No controller did it. */
    NONE;

    /** The completion of a request by its responses: those with success count as done. */
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
