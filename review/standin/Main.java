import java.nio.file.Path;

/**
 * Plays one case: {@code Main CASE RECORD}. Exit code 1 if its rule was broken, 0 if it held, 2 if
 * the case could not run. What was sent, answered and run is added to the file RECORD. {@code TROUBLE=0} leaves the disruption out.
 */
final class Main {
    /** Seed of what the stand-ins draw; the processes run on the real clock. */
    static final long SEED = Long.getLong("seed", 7);

    private Main() {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path record = Path.of(args[1]);
        int code = 2;
        try {
            code =
                    switch (args[0]) {
                        case "site-lost" -> SiteLost.play(record, trouble);
                        case "site-returns" -> SiteReturns.play(record, trouble);
                        case "restart-in-release" -> RestartInRelease.play(record, trouble);
                        case "rolling-deploy" -> RollingDeploy.play(record, trouble);
                        default -> 2;
                    };
        } catch (Exception | Error e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
