package rosespread.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.config.NameRegistry;

/** Writes a conductor's orders as the wire's actions. */
final class SimulatorActionWriter implements PolicyActions {
    private final int controllerId;
    private final JsonGenerator reply;

    SimulatorActionWriter(int conductor, JsonGenerator reply) {
        this.controllerId = conductor;
        this.reply = reply;
    }

    private interface Body {
        void write() throws IOException;
    }

    private void writeAction(String name, Body body) {
        try {
            reply.writeStartObject();
            reply.writeStringField("msg", name);
            reply.writeNumberField("conductorId", controllerId);
            body.write();
            reply.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void writeFault(int conductor, JsonGenerator reply, String text) {
        new SimulatorActionWriter(conductor, reply)
                .writeAction("Fault", () -> reply.writeStringField("reasonText", text));
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        writeAction(
                "Assign",
                () -> {
                    reply.writeNumberField("tbl", table.value());
                    reply.writeNumberField("w", weight);
                    reply.writeNumberField("node", node.value());
                });
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        writeAction(
                "Point",
                () -> {
                    reply.writeNumberField("clientLb", proxy.value());
                    reply.writeNumberField("classBits", methodBits(methods));
                    reply.writeNumberField("tbl", table.value());
                });
    }

    @Override
    public void setExcluded(NodeId node, boolean out) {
        writeAction(
                "Cordon",
                () -> {
                    reply.writeBooleanField("active", out);
                    reply.writeNumberField("node", node.value());
                });
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        writeAction(
                "Admit",
                () -> {
                    reply.writeNumberField(
                            "letIn", Math.min(admitted, NameRegistry.UNBOUNDED_ADMISSION_LIMIT));
                    reply.writeNumberField("secondTry", NameRegistry.RETRY_ONLY_IF_NOT_EXECUTED);
                    reply.writeNumberField("tbl", table.value());
                    reply.writeNumberField("classBits", 1L << method.value());
                });
    }

    @Override
    public void requestAcknowledgement(int mark) {
        writeAction(
                "Mark",
                () -> {
                    reply.writeNumberField("rev", mark);
                    reply.writeBooleanField("active", false);
                });
    }

    @Override
    public void checkHealth(NodeId node) {
        writeAction("Ping", () -> reply.writeNumberField("node", node.value()));
    }

    @Override
    public void watchNodes() {
        writeAction("StreamChanges", () -> reply.writeBooleanField("active", true));
    }

    @Override
    public void startTimer(long nanos) {
        writeAction(
                "Arm",
                () -> {
                    reply.writeNumberField("delay", nanos / 1e9);
                    reply.writeStringField("ctx", "round");
                });
    }

    @Override
    public void log(String line) {
        writeAction("Log", () -> reply.writeStringField("reasonText", line));
    }

    private static long methodBits(Iterable<MethodId> methods) {
        long bits = 0;
        for (MethodId method : methods) {
            bits |= 1L << method.value();
        }
        return bits;
    }
}
