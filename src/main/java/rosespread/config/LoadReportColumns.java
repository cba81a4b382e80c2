package rosespread.config;

/** The indexes of load report columns, taken from {@code report.columns} of the settings. */
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

    /** The utilization in a load report, as a ratio; NaN if it was not reported. */
    double utilization(ConfigObject event) throws ConfigException {
        return event.numberAt("report", utilizationIndex);
    }
}
