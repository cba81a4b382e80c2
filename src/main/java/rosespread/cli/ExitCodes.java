package rosespread.cli;

import rosespread.fleet.Completion;

/** The exit codes of all subcommands. */
final class ExitCodes {
    /** Done; for a scenario, all invariants held. */
    static final int DONE = 0;

    /** The command failed while it ran. */
    static final int FAILED = 1;

    /** The arguments or the input are invalid; nothing was done. */
    static final int BAD_INPUT = 2;

    /** A scenario ran to its end and violated an invariant. */
    static final int INVARIANT_VIOLATED = 3;

    /** Done at some controllers and not at others, or not confirmed as done. */
    static final int PARTLY_DONE = 4;

    private ExitCodes() {}

    static int of(Completion completion) {
        return switch (completion) {
            case ALL -> DONE;
            case SOME -> PARTLY_DONE;
            case NONE -> FAILED;
        };
    }
}
