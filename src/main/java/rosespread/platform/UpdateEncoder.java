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

/** Encodes updates in the platform's words. Owned by the event-loop thread. */
final class UpdateEncoder {
    /** Stands for an update that asks for no acknowledgement. */
    static final int NO_TOKEN = -1;

    /** The platform takes at most so many parts a message. */
    private static final int MAX_PARTS = 64;

    private static final int INITIAL_BYTES = 512;
    private static final MathContext SIX_DIGITS = new MathContext(6);

    private final NameRegistry names;
    private final NodeNameRegistry nodes;

    UpdateEncoder(NameRegistry names, NodeNameRegistry nodes) {
        this.names = names;
        this.nodes = nodes;
    }

    /**
     * Encodes one message; the last part carries the token to be acknowledged, if there is one.
     *
     * @param token {@link #NO_TOKEN} for none
     * @throws IllegalStateException if a proxy could not use it, as that would cost its stream
     */
    byte[] encode(List<UpdatePart> parts, int token) {
        check(parts.size() <= MAX_PARTS && !parts.isEmpty(), parts.size() + " parts");
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        for (int i = 0; i < parts.size(); i++) {
            boolean last = i == parts.size() - 1;
            RespWriter.write(toStrings(parts.get(i), last ? token : NO_TOKEN, !last), out);
        }
        return out.toByteArray();
    }

    /**
     * The words of one part.
     *
     * @param more whether another part of the same message follows
     */
    List<String> toStrings(UpdatePart part, int token, boolean more) {
        List<String> words = new ArrayList<>();
        words.add("assign");
        addMethods(words, part.methods());
        if (part.full()) {
            add(words, "whole", "1");
        }
        addWeights(words, part);
        addLimit(words, part);
        addNodes(words, "out", part.excluded());
        addNodes(words, "back", part.readmitted());
        if (token >= 0) {
            add(words, "ticket", Integer.toString(token));
        }
        if (more) {
            add(words, "more", "1");
        }
        return words;
    }

    private static void add(List<String> words, String field, String value) {
        words.add(field);
        words.add(value);
    }

    private void addMethods(List<String> words, List<MethodId> methods) {
        if (!methods.isEmpty()) {
            add(
                    words,
                    "classes",
                    methods.stream().map(this::nameOf).collect(Collectors.joining("+")));
        }
    }

    private void addWeights(List<String> words, UpdatePart part) {
        if (!part.weights().isEmpty()) {
            String entries =
                    part.weights().entrySet().stream()
                            .map(
                                    entry ->
                                            nodes.nameOf(entry.getKey())
                                                    + ":"
                                                    + figure(entry.getValue()))
                            .collect(Collectors.joining(","));
            add(words, "lines", entries);
        }
    }

    /** The protocol wants a limit and a retry allowance always together. */
    private static void addLimit(List<String> words, UpdatePart part) {
        if (part.setsLimit()) {
            double limit = Math.min(part.admissionLimit(), NameRegistry.UNBOUNDED_ADMISSION_LIMIT);
            add(words, "level", figure(limit));
            add(words, "retry", Integer.toString(NameRegistry.RETRY_ONLY_IF_NOT_EXECUTED));
        }
    }

    private void addNodes(List<String> words, String field, List<NodeId> ids) {
        if (!ids.isEmpty()) {
            add(words, field, ids.stream().map(nodes::nameOf).collect(Collectors.joining(",")));
        }
    }

    private String nameOf(MethodId method) {
        return names.methodNames().get(method.value());
    }

    private static String figure(double value) {
        check(value >= 0 && !Double.isInfinite(value), "a figure of " + value);
        return new BigDecimal(value).round(SIX_DIGITS).toPlainString();
    }

    private static void check(boolean holds, String problem) {
        if (!holds) {
            throw new IllegalStateException("an update with " + problem);
        }
    }
}
