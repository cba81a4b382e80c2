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
 * Speaks the simulator's wire: a batch a line in, a reply a line out, for as many conductors as it
 * names.
 */
public final class SimulatorAdapter {
    private final JsonFactory json = new JsonFactory();
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, SimulatedController> controllers = new TreeMap<>();

    public SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException, MalformedBatchException {
        long number = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            number++;
            try {
                reply(line).writeTo(out);
                out.flush();
            } catch (JsonProcessingException e) {
                throw new MalformedBatchException(
                        "line " + number + " is not a batch: " + e.getOriginalMessage());
            } catch (ConfigException e) {
                throw new MalformedBatchException(
                        "line " + number + " is not a batch: " + e.getMessage());
            }
        }
    }

    private ByteArrayOutputStream reply(String line) throws IOException, ConfigException {
        ConfigObject batch = ConfigObject.of("the line", parse(line));
        long now = batch.secondsAsNanos("simTime");
        Map<Integer, SimulatedController> concerned = new TreeMap<>();
        for (ConfigObject event : batch.requiredObjects("msgs")) {
            dispatch(event, concerned);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator reply = json.createGenerator(bytes)) {
            reply.writeStartObject();
            reply.writeArrayFieldStart("steps");
            for (SimulatedController conductor : concerned.values()) {
                conductor.runRound(now, reply);
            }
            reply.writeEndArray();
            reply.writeEndObject();
            reply.writeRaw('\n');
        }
        return bytes;
    }

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
     * An event of a conductor that has not been launched is passed over: nobody is there to hear
     * it.
     */
    private void dispatch(ConfigObject event, Map<Integer, SimulatedController> concerned)
            throws ConfigException {
        int id = event.integer("conductorId");
        switch (event.text("msg")) {
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
                SimulatedController conductor = controllers.get(id);
                if (conductor != null) {
                    conductor.handleEvent(event);
                    concerned.put(id, conductor);
                }
            }
        }
    }
}
