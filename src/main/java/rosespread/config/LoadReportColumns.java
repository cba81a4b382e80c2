package rosespread.config;

/** The columns of load reports that the settings name in {@code report.columns}, by their index. */
final class LoadReportColumns {
    private static final String UTILIZATION = "utilization";
    private static final int NO_COLUMN = -1;

    private final int utilizationIndex;

    LoadReportColumns(ConfigObject settings) throws ConfigException {
        utilizationIndex =
                settings.has("report")
                        ? settings.object("report").names("columns").indexOf(UTILIZATION)
                        : NO_COLUMN;
    }

    /** The utilization in the values of a report, as a ratio; NaN if it was not reported. */
    double utilization(ConfigObject event) throws ConfigException {
        return event.numberAt("report", utilizationIndex);
    }
}
