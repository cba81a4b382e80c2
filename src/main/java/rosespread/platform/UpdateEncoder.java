package rosespread.platform;

import java.io.ByteArrayOutputStream;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.config.NameRegistry;
import rosespread.resp.RespWriter;

/** Writes a message's parts in the platform's words. */
final class UpdateEncoder {
    /** A message has at most so many parts. */
    static final int MOST_PARTS = 64;

    private static final MathContext FIGURES = new MathContext(6);

    private final NameRegistry names;
    private final NodeNameRegistry nodes;

    UpdateEncoder(NameRegistry names, NodeNameRegistry nodes) {
        this.names = names;
        this.nodes = nodes;
    }

    /**
     * One message; the last part carries the mark that is to be answered, if there is one
     * (negative: none).
     *
     * @throws IllegalStateException at what a proxy can't use, as that would cost its stream
     */
    byte[] encode(List<UpdatePart> parts, int ticket) {
        check(parts.size() <= MOST_PARTS && !parts.isEmpty(), parts.size() + " parts");
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        for (int i = 0; i < parts.size(); i++) {
            boolean last = i == parts.size() - 1;
            RespWriter.write(toWords(parts.get(i), last ? ticket : -1, !last), out);
        }
        return out.toByteArray();
    }

    List<String> toWords(UpdatePart part, int ticket, boolean more) {
        List<String> words = new ArrayList<>();
        words.add("assign");
        if (!part.methods().isEmpty()) {
            add(
                    words,
                    "classes",
                    part.methods().stream().map(this::method).collect(Collectors.joining("+")));
        }
        if (part.full()) {
            add(words, "whole", "1");
        }
        if (!part.weights().isEmpty()) {
            add(
                    words,
                    "lines",
                    part.weights().entrySet().stream()
                            .map(
                                    line ->
                                            nodes.nameOf(line.getKey())
                                                    + ":"
                                                    + figure(line.getValue()))
                            .collect(Collectors.joining(",")));
        }
        if (!Double.isNaN(part.admissionLimit())) {
            add(
                    words,
                    "level",
                    figure(Math.min(part.admissionLimit(), NameRegistry.UNBOUNDED_LEVEL)));
            add(words, "retry", Integer.toString(NameRegistry.RETRY_AFTER_PROOF));
        }
        addNodes(words, "out", part.excluded());
        addNodes(words, "back", part.readmitted());
        if (ticket >= 0) {
            add(words, "ticket", Integer.toString(ticket));
        }
        if (more) {
            add(words, "more", "1");
        }
        return words;
    }

    private static void add(List<String> words, String name, String value) {
        words.add(name);
        words.add(value);
    }

    private void addNodes(List<String> words, String name, List<NodeId> which) {
        if (!which.isEmpty()) {
            add(words, name, which.stream().map(nodes::nameOf).collect(Collectors.joining(",")));
        }
    }

    private String method(MethodId method) {
        return names.methodNames().get(method.value());
    }

    private static String figure(double value) {
        check(value >= 0 && !Double.isInfinite(value), "a figure of " + value);
        return new BigDecimal(value).round(FIGURES).toPlainString();
    }

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException("an order with " + what);
        }
    }
}
