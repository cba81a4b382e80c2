package rosespread.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.config.NameRegistry;

/**
 * Writes a controller's actions to the reply in the order of the policy's calls. The order of an
 * action's fields is part of the wire format.
 *
 * <p>Every method throws {@link UncheckedIOException} if the reply cannot be written.
 */
final class SimulatorActionWriter implements PolicyActions {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int controllerId;
    private final JsonGenerator reply;

    SimulatorActionWriter(int controllerId, JsonGenerator reply) {
        this.controllerId = controllerId;
        this.reply = reply;
    }

    /** Writes the fields that are specific to one kind of action. */
    private interface Fields {
        void write() throws IOException;
    }

    private void writeAction(String name, Fields fields) {
        try {
            reply.writeStartObject();
            reply.writeStringField(WireNames.MESSAGE, name);
            reply.writeNumberField(WireNames.CONTROLLER, controllerId);
            fields.write();
            reply.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes the fault action, which reports that the controller's policy threw. */
    static void writeFault(int controllerId, JsonGenerator reply, String text) {
        new SimulatorActionWriter(controllerId, reply)
                .writeAction("Fault", () -> reply.writeStringField(WireNames.TEXT, text));
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        writeAction(
                "Assign",
                () -> {
                    reply.writeNumberField(WireNames.TABLE, table.value());
                    reply.writeNumberField(WireNames.WEIGHT, weight);
                    reply.writeNumberField(WireNames.NODE, node.value());
                });
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        writeAction(
                "Point",
                () -> {
                    reply.writeNumberField(WireNames.PROXY, proxy.value());
                    reply.writeNumberField(WireNames.METHOD_BITS, methodBits(methods));
                    reply.writeNumberField(WireNames.TABLE, table.value());
                });
    }

    @Override
    public void setExcluded(NodeId node, boolean excluded) {
        writeAction(
                "Cordon",
                () -> {
                    reply.writeBooleanField(WireNames.ACTIVE, excluded);
                    reply.writeNumberField(WireNames.NODE, node.value());
                });
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double limit) {
        writeAction(
                "Admit",
                () -> {
                    reply.writeNumberField(
                            "letIn", Math.min(limit, NameRegistry.UNBOUNDED_ADMISSION_LIMIT));
                    reply.writeNumberField("secondTry", NameRegistry.RETRY_ONLY_IF_NOT_EXECUTED);
                    reply.writeNumberField(WireNames.TABLE, table.value());
                    reply.writeNumberField(WireNames.METHOD_BITS, methodBit(method));
                });
    }

    @Override
    public void requestAcknowledgement(int number) {
        writeAction(
                "Mark",
                () -> {
                    reply.writeNumberField(WireNames.REVISION, number);
                    reply.writeBooleanField(WireNames.ACTIVE, false);
                });
    }

    @Override
    public void checkHealth(NodeId node) {
        writeAction("Ping", () -> reply.writeNumberField(WireNames.NODE, node.value()));
    }

    @Override
    public void watchNodes() {
        writeAction("StreamChanges", () -> reply.writeBooleanField(WireNames.ACTIVE, true));
    }

    @Override
    public void startTimer(long nanos) {
        writeAction(
                "Arm",
                () -> {
                    reply.writeNumberField("delay", nanos / NANOS_PER_SECOND);
                    reply.writeStringField("ctx", "round");
                });
    }

    @Override
    public void report(PolicyEvent event) {
        writeLog(event.text());
    }

    void writeLog(String line) {
        writeAction("Log", () -> reply.writeStringField(WireNames.TEXT, line));
    }

    private static long methodBits(Iterable<MethodId> methods) {
        long bits = 0;
        for (MethodId method : methods) {
            bits |= methodBit(method);
        }
        return bits;
    }

    private static long methodBit(MethodId method) {
        return 1L << method.value();
    }
}
