package rosespread.platform;

import java.util.Locale;

/**
 * What reports told since it was last asked: sums of RPCs as they came, before the module makes anything of
 * them, so that its view can be held against them.
 */
final class Heard {
    private long reports;
    private long tries;
    private long unanswered;
    private long offered;
    private double busy;
    private long busyReports;

    void sums(Message.Sums sums) {
        reports++;
        tries += sums.tries();
        unanswered += sums.unanswered();
        if (!Double.isNaN(sums.utilization())) {
            busy += sums.utilization();
            busyReports++;
        }
    }

    void offered(Message.Offered told) {
        reports++;
        offered += told.count();
    }

    /** The figures, and begins anew. */
    String read() {
        String told = String.format(Locale.ROOT, "heard reports %d tries %d unanswered %d offered %d busy %.2f",
                reports, tries, unanswered, offered, busyReports == 0 ? Double.NaN : busy / busyReports);
        reports = 0;
        tries = 0;
        unanswered = 0;
        offered = 0;
        busy = 0;
        busyReports = 0;
        return told;
    }
}
