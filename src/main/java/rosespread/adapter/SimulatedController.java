package rosespread.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;
import rosespread.config.NameRegistry;
import rosespread.config.PolicySettingsReader;
import rosespread.policy.RoutingPolicy;

/**
 * One of the simulator's controllers in this process: its policy and the pending events of its next
 * round.
 */
final class SimulatedController {
    private final int id;
    private final RoutingPolicy policy;
    private final SimulatorEventReader reader;
    private List<Consumer<EventHandler>> pendingEvents = new ArrayList<>();

    /**
     * Creates a controller from its launch event.
     *
     * @throws ConfigException if a field is missing or has a wrong type
     */
    SimulatedController(int id, ConfigObject launch) throws ConfigException {
        ConfigObject settings = launch.object("info");
        NameRegistry names = new NameRegistry(settings);
        this.id = id;
        this.reader = new SimulatorEventReader(names);
        this.policy =
                new RoutingPolicy(
                        new PolicySettingsReader(names).read(settings),
                        new SplittableRandom(launch.longValue("nonce64")));
    }

    /**
     * Adds an event to the next round; events with an unknown name are ignored.
     *
     * @throws ConfigException if the event is malformed
     */
    void handleEvent(ConfigObject event) throws ConfigException {
        reader.read(event, pendingEvents);
    }

    /**
     * Runs a round with the events since the last one, and writes its actions. If the policy
     * throws, a fault action follows the actions made until then, and the simulator ends the run.
     *
     * @param now the simulated time in nanoseconds
     * @throws IOException if the reply cannot be written
     */
    void runRound(long now, JsonGenerator reply) throws IOException {
        List<Consumer<EventHandler>> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        try {
            policy.round(
                    now,
                    handler -> events.forEach(event -> event.accept(handler)),
                    new SimulatorActionWriter(id, reply));
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } catch (RuntimeException e) {
            SimulatorActionWriter.writeFault(id, reply, describe(e));
        }
    }

    private static String describe(RuntimeException failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        return failure + (frames.length > 0 ? " at " + frames[0] : "");
    }
}
