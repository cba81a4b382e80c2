package rosespread.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.Orders;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.launch.Names;

/** Writes a conductor's orders as the wire's actions. */
final class Steps implements Orders {
    private final int conductor;
    private final JsonGenerator reply;

    Steps(int conductor, JsonGenerator reply) {
        this.conductor = conductor;
        this.reply = reply;
    }

    private interface Body {
        void write() throws IOException;
    }

    private void step(String name, Body body) {
        try {
            reply.writeStartObject();
            reply.writeStringField("msg", name);
            reply.writeNumberField("conductorId", conductor);
            body.write();
            reply.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void fault(int conductor, JsonGenerator reply, String text) {
        new Steps(conductor, reply).step("Fault", () -> reply.writeStringField("reasonText", text));
    }

    @Override
    public void line(TableId table, NodeId node, double weight) {
        step(
                "Assign",
                () -> {
                    reply.writeNumberField("tbl", table.value());
                    reply.writeNumberField("w", weight);
                    reply.writeNumberField("node", node.value());
                });
    }

    @Override
    public void bind(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        step(
                "Point",
                () -> {
                    reply.writeNumberField("clientLb", proxy.value());
                    reply.writeNumberField("classBits", bits(methods));
                    reply.writeNumberField("tbl", table.value());
                });
    }

    @Override
    public void withdraw(NodeId node, boolean out) {
        step(
                "Cordon",
                () -> {
                    reply.writeBooleanField("active", out);
                    reply.writeNumberField("node", node.value());
                });
    }

    @Override
    public void level(TableId table, MethodId method, double admitted) {
        step(
                "Admit",
                () -> {
                    reply.writeNumberField("letIn", Math.min(admitted, Names.UNBOUNDED_LEVEL));
                    reply.writeNumberField("secondTry", Names.RETRY_AFTER_PROOF);
                    reply.writeNumberField("tbl", table.value());
                    reply.writeNumberField("classBits", 1L << method.value());
                });
    }

    @Override
    public void mark(int mark) {
        step(
                "Mark",
                () -> {
                    reply.writeNumberField("rev", mark);
                    reply.writeBooleanField("active", false);
                });
    }

    @Override
    public void probe(NodeId node) {
        step("Ping", () -> reply.writeNumberField("node", node.value()));
    }

    @Override
    public void followList() {
        step("StreamChanges", () -> reply.writeBooleanField("active", true));
    }

    @Override
    public void wakeAfter(long nanos) {
        step(
                "Arm",
                () -> {
                    reply.writeNumberField("delay", nanos / 1e9);
                    reply.writeStringField("ctx", "round");
                });
    }

    @Override
    public void log(String line) {
        step("Log", () -> reply.writeStringField("reasonText", line));
    }

    private static long bits(Iterable<MethodId> methods) {
        long bits = 0;
        for (MethodId method : methods) {
            bits |= 1L << method.value();
        }
        return bits;
    }
}
