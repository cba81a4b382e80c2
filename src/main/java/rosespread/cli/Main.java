package rosespread.cli;

import java.io.IOException;
import rosespread.adapter.Adapter;
import rosespread.adapter.WireException;

/** The program: one subcommand a job. */
public final class Main {
    private static final String USAGE = """
            usage: rosespread SUBCOMMAND
              adapter   decide on the simulator's wire, from standard input to standard output
            """;

    private Main() { }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        if (args.length != 1) {
            System.err.print(USAGE);
            return 2;
        }
        switch (args[0]) {
            case "adapter":
                return adapter();
            default:
                System.err.print("unknown subcommand: " + args[0] + "\n" + USAGE);
                return 2;
        }
    }

    private static int adapter() {
        try {
            new Adapter(System.in, System.out).run();
            return 0;
        } catch (WireException | IOException e) {
            System.err.println("rosespread adapter: " + e.getMessage());
            return 1;
        }
    }
}
