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
 * Implements the simulator's line protocol: each input line is a batch of events and gets one reply
 * line. Runs any number of independent controllers, which events launch. A batch runs one round of
 * each controller that it has an event for, in the order of their ids; the reply contains the
 * actions of these rounds.
 *
 * <p>Not thread-safe; runs on the thread that calls {@link #run}.
 */
public final class SimulatorAdapter {
    private static final int INPUT_BUFFER_CHARS = 1 << 16;

    private final JsonFactory json = new JsonFactory();
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, SimulatedController> controllers = new TreeMap<>();

    /** Creates an adapter. The input is read as UTF-8; neither stream is closed. */
    public SimulatorAdapter(InputStream in, OutputStream out) {
        this.in =
                new BufferedReader(
                        new InputStreamReader(in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
        this.out = out;
    }

    /**
     * Replies to each batch until the input ends. Each reply is flushed before the next line is
     * read.
     *
     * @throws IOException if reading or writing fails
     * @throws MalformedBatchException if a line is not a valid batch
     */
    public void run() throws IOException, MalformedBatchException {
        long lineNumber = 0;
        String line = in.readLine();
        while (line != null) {
            lineNumber++;
            replyTo(lineNumber, line);
            line = in.readLine();
        }
    }

    private void replyTo(long lineNumber, String line) throws IOException, MalformedBatchException {
        try {
            runBatch(line).writeTo(out);
            out.flush();
        } catch (JsonProcessingException e) {
            throw new MalformedBatchException(lineNumber, e.getOriginalMessage());
        } catch (ConfigException e) {
            throw new MalformedBatchException(lineNumber, e.getMessage());
        }
    }

    private ByteArrayOutputStream runBatch(String line) throws IOException, ConfigException {
        ConfigObject batch = ConfigObject.of("the line", parse(line));
        long now = batch.secondsAsNanos("simTime");
        Map<Integer, SimulatedController> controllersWithEvents = new TreeMap<>();
        for (ConfigObject event : batch.requiredObjects("msgs")) {
            dispatch(event, controllersWithEvents);
        }
        return runRounds(now, controllersWithEvents.values());
    }

    private ByteArrayOutputStream runRounds(
            long now, Iterable<SimulatedController> controllersWithEvents) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator reply = json.createGenerator(bytes)) {
            reply.writeStartObject();
            reply.writeArrayFieldStart("steps");
            for (SimulatedController controller : controllersWithEvents) {
                controller.runRound(now, reply);
            }
            reply.writeEndArray();
            reply.writeEndObject();
            reply.writeRaw('\n');
        }
        return bytes;
    }

    /** Parses the single JSON value of a line; null if the line has no value or more than one. */
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
     * Passes an event to its controller; events for a controller that was not launched are ignored.
     *
     * @param controllersWithEvents the controllers with an event in this batch; updated by this
     *     method
     */
    private void dispatch(
            ConfigObject event, Map<Integer, SimulatedController> controllersWithEvents)
            throws ConfigException {
        int id = event.integer(WireNames.CONTROLLER);
        switch (event.text(WireNames.MESSAGE)) {
            case "Launch" -> {
                SimulatedController launched = new SimulatedController(id, event);
                controllers.put(id, launched);
                controllersWithEvents.put(id, launched);
            }
            case "Detach" -> {
                controllers.remove(id);
                controllersWithEvents.remove(id);
            }
            default -> {
                SimulatedController controller = controllers.get(id);
                if (controller != null) {
                    controller.handleEvent(event);
                    controllersWithEvents.put(id, controller);
                }
            }
        }
    }
}
