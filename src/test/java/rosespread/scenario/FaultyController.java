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
 * A controller process whose policy has one fault, to test that the invariant checker detects the
 * fault.
 */
public final class FaultyController {
    /** The fault of the policy. The names are arguments of the process. */
    enum Fault {
        /** Ignores that nodes drain. */
        IGNORES_DRAINS,
        /** Gives nodes in their warm-up 1000 times their weight. */
        OVERLOADS_WARMING_NODES,
        /** Allows proxies to retry after any failure. */
        ALLOWS_ALL_RETRIES,
        /** Empties all tables 4 s after the first round. */
        EMPTIES_TABLES,
        /** Changes all weights in every round from 4 s after the first round. */
        FLOODS_CHANNEL,
        /** Sends invalid weights; see {@link WrongWeights}. */
        INVALID_WEIGHTS,
        /** Sends changes that are too large or too many; see {@link WrongWeights}. */
        EXCESSIVE_CHANGES,
        /** No fault. */
        NONE
    }

    private static final String VALIDATED = "validated";

    private FaultyController() {}

    /** Accepts all changes, so that the faults reach the proxies and the invariant checker. */
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
     * @param args the fault, "validated" if tables are to be validated, then the subcommand and the
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
