package rosespread.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;

/**
 * Speaks the simulator's wire: one batch of events a line in, one reply a line out. It runs as many
 * controllers as the events launch, each by itself; a reply holds a round of each controller that
 * the batch had an event for, by ascending id.
 *
 * <p>Not thread-safe; runs on the thread that calls {@link #run}.
 */
public final class SimulatorAdapter {
    private static final int INPUT_BUFFER_CHARS = 1 << 16;

    private final JsonFactory json = new JsonFactory();
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, SimulatedController> controllers = new TreeMap<>();

    /** An adapter on these streams, which it does not close; the input is UTF-8. */
    public SimulatorAdapter(InputStream in, OutputStream out) {
        this.in =
                new BufferedReader(
                        new InputStreamReader(in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
        this.out = out;
    }

    /**
     * Replies to batches until the input ends. Each reply is flushed before the next line is read.
     *
     * @throws IOException if a stream fails
     * @throws MalformedBatchException if a line is not a batch
     */
    public void run() throws IOException, MalformedBatchException {
        long lineNumber = 0;
        String line = in.readLine();
        while (line != null) {
            lineNumber++;
            reply(lineNumber, line);
            line = in.readLine();
        }
    }

    private void reply(long lineNumber, String line) throws IOException, MalformedBatchException {
        try {
            reply(line).writeTo(out);
            out.flush();
        } catch (JsonProcessingException e) {
            throw new MalformedBatchException(lineNumber, e.getOriginalMessage());
        } catch (ConfigException e) {
            throw new MalformedBatchException(lineNumber, e.getMessage());
        }
    }

    private ByteArrayOutputStream reply(String line) throws IOException, ConfigException {
        ConfigObject batch = ConfigObject.of("the line", parse(line));
        long now = batch.secondsAsNanos("simTime");
        Map<Integer, SimulatedController> concerned = new TreeMap<>();
        for (ConfigObject event : batch.requiredObjects("msgs")) {
            dispatch(event, concerned);
        }
        return runRounds(now, concerned.values());
    }

    private ByteArrayOutputStream runRounds(long now, Iterable<SimulatedController> concerned)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator reply = json.createGenerator(bytes)) {
            reply.writeStartObject();
            reply.writeArrayFieldStart("steps");
            for (SimulatedController controller : concerned) {
                controller.runRound(now, reply);
            }
            reply.writeEndArray();
            reply.writeEndObject();
            reply.writeRaw('\n');
        }
        return bytes;
    }

    /** The value of a line; null if it holds none or more than one. */
    private Object parse(String line) throws IOException {
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() == null) {
                return null;
            }
            Object value = ConfigObject.read(parser);
            return parser.nextToken() == null ? value : null;
        }
    }

    /**
     * Hands an event to its controller; one for a controller that was not launched is passed over.
     *
     * @param concerned the controllers that have had an event of this batch; kept up to date
     */
    private void dispatch(ConfigObject event, Map<Integer, SimulatedController> concerned)
            throws ConfigException {
        int id = event.integer(WireNames.CONTROLLER);
        switch (event.text(WireNames.MESSAGE)) {
            case "Launch" -> {
                SimulatedController launched = new SimulatedController(id, event);
                controllers.put(id, launched);
                concerned.put(id, launched);
            }
            case "Detach" -> {
                controllers.remove(id);
                concerned.remove(id);
            }
            default -> {
                SimulatedController controller = controllers.get(id);
                if (controller != null) {
                    controller.handleEvent(event);
                    concerned.put(id, controller);
                }
            }
        }
    }
}
