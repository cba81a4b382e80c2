package rosespread.scenario;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.admin.Daemon;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator;

/**
 * A real controller process round a policy that is wrong in one way, so that the invariant checker
 * can be seen to fail.
 */
public final class FaultyController {
    /** What the policy does wrong. The names are arguments of the process. */
    enum Fault {
        /** Does not see that nodes drain. */
        IGNORES_DRAINS,
        /** Sends a thousand times the weight to nodes that warm up. */
        FLOODS_COLD,
        /** Lets proxies retry after any failure. */
        REPEATS,
        /** Empties all tables after a while. */
        EMPTIES,
        /** Changes all weights in every round after a while. */
        FLOODS_CHANNEL,
        /** Sends tables that no sound controller sends. */
        BAD_TABLES,
        /** Makes changes that are too large or too many. */
        BAD_MOVES,
        /** Nothing. */
        NONE
    }

    private static final String VALIDATED = "gated";

    private FaultyController() {}

    /** Lets everything pass, so that the invariant checker and not the validator is tried. */
    private static final class AcceptingValidator extends TableChangeValidator {
        @Override
        public ValidationResult validate(
                Map<NodeId, Double> current,
                Map<NodeId, Double> desired,
                ValidationContext context) {
            return new ValidationResult(desired, List.of());
        }
    }

    /**
     * Runs the controller.
     *
     * @param args the fault, "gated" if its tables are to be validated, then the subcommand and the
     *     options of the controller's command
     */
    public static void main(String[] args) throws Exception {
        Fault fault = Fault.valueOf(args[0]);
        boolean validated = args[1].equals(VALIDATED);
        Map<String, String> options = new TreeMap<>();
        for (int i = validated ? 3 : 2; i + 1 < args.length; i += 2) {
            options.put(args[i], args[i + 1]);
        }
        Daemon.run(
                options.get("--name"),
                Path.of(options.get("--state")),
                address(options.get("--listen")),
                address(options.get("--control")),
                (settings, seed) -> new FaultyPolicy(fault, settings.policySettings(), seed),
                validated ? new TableChangeValidator() : new AcceptingValidator());
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
