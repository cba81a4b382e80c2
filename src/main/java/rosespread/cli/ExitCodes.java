package rosespread.cli;

import rosespread.fleet.Completion;

/** The exit codes of all subcommands. */
final class ExitCodes {
    /** Done; for a scenario, all rules kept. */
    static final int DONE = 0;

    /** The command failed while it ran. */
    static final int FAILED = 1;

    /** The arguments or the input are wrong; nothing was done. */
    static final int BAD_INPUT = 2;

    /** A scenario ran to its end and broke a rule. */
    static final int RULE_BROKEN = 3;

    /** Done at some controllers and not at others, or not known to be done at all. */
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
