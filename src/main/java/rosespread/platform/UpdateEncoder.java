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

/** Encodes updates in the platform's protocol. Owned by the event-loop thread. */
final class UpdateEncoder {
    /** The token of an update that asks for no acknowledgement. */
    static final int NO_TOKEN = -1;

    /** The platform accepts at most this many parts per message. */
    private static final int MAX_PARTS = 64;

    private static final int INITIAL_BYTES = 512;
    private static final MathContext SIX_DIGITS = new MathContext(6);

    private final NameRegistry names;
    private final NodeNameRegistry nodeNames;

    UpdateEncoder(NameRegistry names, NodeNameRegistry nodeNames) {
        this.names = names;
        this.nodeNames = nodeNames;
    }

    /**
     * Encodes one message; the last part carries the acknowledgement token, if there is one.
     *
     * @param token {@link #NO_TOKEN} for none
     * @throws IllegalStateException if a proxy could not use the message, which would end its
     *     stream
     */
    byte[] encode(List<UpdatePart> parts, int token) {
        check(
                parts.size() <= MAX_PARTS && !parts.isEmpty(),
                parts.size() + " parts, expected 1 to " + MAX_PARTS);
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        for (int i = 0; i < parts.size(); i++) {
            boolean last = i == parts.size() - 1;
            RespWriter.write(toStrings(parts.get(i), last ? token : NO_TOKEN, !last), out);
        }
        return out.toByteArray();
    }

    /**
     * Returns the strings of one part.
     *
     * @param more whether another part of the same message follows
     */
    List<String> toStrings(UpdatePart part, int token, boolean more) {
        List<String> strings = new ArrayList<>();
        strings.add("assign");
        addMethods(strings, part.methods());
        if (part.full()) {
            add(strings, "whole", "1");
        }
        addWeights(strings, part);
        addLimit(strings, part);
        addNodes(strings, "out", part.excluded());
        addNodes(strings, "back", part.readmitted());
        if (token >= 0) {
            add(strings, "ticket", Integer.toString(token));
        }
        if (more) {
            add(strings, "more", "1");
        }
        return strings;
    }

    private static void add(List<String> strings, String field, String value) {
        strings.add(field);
        strings.add(value);
    }

    private void addMethods(List<String> strings, List<MethodId> methods) {
        if (!methods.isEmpty()) {
            add(
                    strings,
                    "classes",
                    methods.stream().map(this::nameOf).collect(Collectors.joining("+")));
        }
    }

    private void addWeights(List<String> strings, UpdatePart part) {
        if (!part.weights().isEmpty()) {
            String entries =
                    part.weights().entrySet().stream()
                            .map(
                                    entry ->
                                            nodeNames.nameOf(entry.getKey())
                                                    + ":"
                                                    + formatNumber(entry.getValue()))
                            .collect(Collectors.joining(","));
            add(strings, "lines", entries);
        }
    }

    /** Adds the admission limit and the retry rule, which the protocol requires together. */
    private static void addLimit(List<String> strings, UpdatePart part) {
        if (part.setsLimit()) {
            double limit = Math.min(part.admissionLimit(), NameRegistry.UNBOUNDED_ADMISSION_LIMIT);
            add(strings, "level", formatNumber(limit));
            add(strings, "retry", Integer.toString(NameRegistry.RETRY_ONLY_IF_NOT_EXECUTED));
        }
    }

    private void addNodes(List<String> strings, String field, List<NodeId> ids) {
        if (!ids.isEmpty()) {
            add(
                    strings,
                    field,
                    ids.stream().map(nodeNames::nameOf).collect(Collectors.joining(",")));
        }
    }

    private String nameOf(MethodId method) {
        return names.methodNames().get(method.value());
    }

    private static String formatNumber(double value) {
        check(
                value >= 0 && !Double.isInfinite(value),
                "the value " + value + ", expected a finite number of 0 or more");
        return new BigDecimal(value).round(SIX_DIGITS).toPlainString();
    }

    private static void check(boolean holds, String problem) {
        if (!holds) {
            throw new IllegalStateException("update has " + problem);
        }
    }
}
