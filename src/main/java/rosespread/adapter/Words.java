package rosespread.adapter;

import rosespread.api.Observer;
import rosespread.launch.LaunchException;

/** The simulator's words for what happened and what is listed. */
final class Words {
    private Words() {}

    static Observer.Verdict verdict(String name) {
        return switch (name) {
            case "delivered" -> Observer.Verdict.OK;
            case "shed" -> Observer.Verdict.PUSHED_BACK;
            case "expired" -> Observer.Verdict.TIMED_OUT;
            case "dial_failed", "dropped" -> Observer.Verdict.UNREACHABLE;
            default -> Observer.Verdict.ABORTED;
        };
    }

    static Observer.ListKind listKind(String name) throws LaunchException {
        return switch (name) {
            case "Partial" -> Observer.ListKind.CHANGES;
            case "Complete" -> Observer.ListKind.WHOLE;
            case "Persisted" -> Observer.ListKind.REMEMBERED;
            case "Error" -> Observer.ListKind.UNAVAILABLE;
            default -> throw new LaunchException("no list is of kind \"" + name + "\"");
        };
    }

    static Observer.NodeState state(String name) throws LaunchException {
        return switch (name) {
            case "ready" -> Observer.NodeState.READY;
            case "draining" -> Observer.NodeState.DRAINING;
            case "gone" -> Observer.NodeState.GONE;
            default -> throw new LaunchException("no node is \"" + name + "\"");
        };
    }
}
