package rosespread.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import rosespread.testbed.SiteDefinition;

/** Writes a scenario's controller settings as the JSON that the control API takes. */
final class ControllerSettingsWriter {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int LIST_WAIT_MILLIS = 5_000;
    private static final int LIST_SILENT_AFTER_MILLIS = 1_500;

    private final Scenario scenario;
    private final SiteDefinition site;

    ControllerSettingsWriter(Scenario scenario) {
        this.scenario = scenario;
        this.site = scenario.site();
    }

    String write(long seed, int listPort, List<String> peers) {
        ObjectNode settings = JsonNodeFactory.instance.objectNode();
        settings.put("seed", seed);
        addTexts(settings, "peers", peers);
        addTexts(settings, "zones", site.zones());
        addTexts(settings, "kinds", List.copyOf(site.machineTypes().keySet()));
        writeMethods(settings.putArray("methods"));
        settings.putObject("list")
                .put("port", listPort)
                .put("service", "nodes")
                .put("waitMs", LIST_WAIT_MILLIS)
                .put("silentAfterMs", LIST_SILENT_AFTER_MILLIS);
        settings.putObject("probes").put("allowed", scenario.healthChecksAllowed());
        settings.put("levels", scenario.channel().admissionMode().yamlName());
        writeChannel(settings.putObject("channel"));
        settings.put("reportPeriodMs", millis(site.reportPeriodNanos()));
        settings.put("drainGraceMs", millis(scenario.limits().drainTimeoutNanos()));
        SiteDefinition.WarmUp warmUp = site.warmUp();
        settings.putObject("cold")
                .put("timeMs", millis(warmUp.durationNanos()))
                .put("share", warmUp.initialRatio())
                .put("windowMs", millis(warmUp.windowNanos()));
        return settings.toString();
    }

    private void writeMethods(ArrayNode methods) {
        for (SiteDefinition.Method method : site.methods()) {
            ObjectNode node =
                    methods.addObject()
                            .put("name", method.name())
                            .put("criticality", method.priorityWeight());
            addTexts(node, "onlyKinds", method.machineTypes());
        }
    }

    private void writeChannel(ObjectNode node) {
        Scenario.Channel channel = scenario.channel();
        node.put("linesPerSecond", channel.entriesPerSecond())
                .put("linesPerMessage", channel.entriesPerMessage())
                .put("queueLimit", channel.queueLimit())
                .put("orderPrice", channel.actionCost())
                .put("messageLimit", channel.messageLimit())
                .put("messageSpanMs", millis(channel.messageWindowNanos()))
                .put("longestWayMs", millis(site.proxies().maxDelayNanos()));
    }

    private static void addTexts(ObjectNode node, String name, List<String> texts) {
        ArrayNode array = node.putArray(name);
        texts.forEach(array::add);
    }

    private static double millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }
}
