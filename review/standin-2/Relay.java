package review2;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A plain proxy on the project's own channel. It follows the tables that it is given, keeps them
 * when its stream breaks, and dials the controller of its room again. Its tries are real
 * connections to the nodes. It tries a second node once after a refused connection.
 */
final class Relay {
    /** Hears of what the relay does. */
    interface Listener {
        void joined(Relay relay);

        void left(Relay relay, String why);

        /** A message of the controller came; arrival times are counted for the limit on messages. */
        void message(Relay relay, int lines, int waiting);

        /** A table's line of a node was set or, with weight 0, removed. */
        void line(Relay relay, int table, int port, double weight);

        void tried(Relay relay, int port, boolean answered);
    }

    final String name;
    final String zone;
    private final InetSocketAddress controller;
    private final double triesPerSecond;
    private final Listener listener;
    private final Random random;
    private final Map<Long, Integer> ports = new HashMap<>();
    private final Map<Integer, Map<Long, Double>> tables = new TreeMap<>();
    private final Map<Integer, Long> versions = new TreeMap<>();
    private final Map<Integer, Integer> tableOfMethod = new TreeMap<>();
    private final Set<Long> withdrawn = new HashSet<>();
    private final Set<Integer> boundOnStream = new HashSet<>();
    private final Map<Long, int[]> sums = new HashMap<>();
    private final int[] offered = new int[2];
    private volatile boolean stopped;
    private volatile Socket socket;
    private DataOutputStream out;

    Relay(
            String name,
            String zone,
            int controllerPort,
            double triesPerSecond,
            long seed,
            Listener listener) {
        this.name = name;
        this.zone = zone;
        this.controller = new InetSocketAddress("127.0.0.1", controllerPort);
        this.triesPerSecond = triesPerSecond;
        this.listener = listener;
        this.random = new Random(seed);
        start("stream-" + name, this::streams);
        start("reports-" + name, this::reports);
        if (triesPerSecond > 0) {
            start("tries-" + name, this::tries);
        }
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        stopped = true;
        closeSocket();
    }

    private void closeSocket() {
        try {
            Socket current = socket;
            if (current != null) {
                current.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
    }

    /** The number of nodes that the relay may pick for a method now. */
    synchronized int lines(int method) {
        return usable(method).size();
    }

    synchronized boolean holds(int port) {
        return tables.values().stream()
                .flatMap(table -> table.keySet().stream())
                .anyMatch(node -> Integer.valueOf(port).equals(ports.get(node)));
    }

    private void streams() {
        while (!stopped) {
            String why;
            try (Socket connection = new Socket()) {
                connection.connect(controller, 1000);
                connection.setTcpNoDelay(true);
                connection.setSoTimeout(4000);
                socket = connection;
                stream(connection);
                why = "end";
            } catch (IOException e) {
                why = e.toString();
            }
            synchronized (this) {
                out = null;
                boundOnStream.clear();
            }
            listener.left(this, why);
            sleep(1100 + random.nextInt(1200));
        }
    }

    private void stream(Socket connection) throws IOException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        DataOutputStream stream = new DataOutputStream(connection.getOutputStream());
        stream.write(
                Frames.frame(
                        Frames.HELLO,
                        body -> {
                            body.writeShort(2);
                            Frames.text(body, name);
                            body.writeByte(0);
                        }));
        List<byte[]> message = new ArrayList<>();
        while (!stopped) {
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            int kind = frame[0];
            DataInputStream body =
                    new DataInputStream(new ByteArrayInputStream(frame, 2, frame.length - 2));
            if (kind == Frames.HELLO) {
                synchronized (this) {
                    stream.write(join());
                    out = stream;
                }
                listener.joined(this);
            } else if (kind == Frames.KEEP_ALIVE) {
                long number = body.readLong();
                if (body.readUnsignedByte() == 0) {
                    write(
                            Frames.frame(
                                    Frames.KEEP_ALIVE,
                                    answer -> {
                                        answer.writeLong(number);
                                        answer.writeByte(1);
                                    }));
                }
            } else if (kind == Frames.CLOSE) {
                int reason = body.readUnsignedByte();
                throw new IOException("closed by the controller: " + reason + " "
                        + Frames.text(body));
            } else if (kind == Frames.MARK) {
                long number = body.readLong();
                body.readLong();
                int lines = body.readInt();
                int waiting = body.readInt();
                for (byte[] part : message) {
                    apply(part);
                }
                message.clear();
                write(Frames.frame(Frames.INSTALLED, answer -> answer.writeLong(number)));
                listener.message(this, lines, waiting);
            } else {
                message.add(frame);
            }
        }
    }

    private byte[] join() throws IOException {
        return Frames.frame(
                Frames.JOIN,
                body -> {
                    Frames.text(body, name);
                    Frames.text(body, zone);
                    body.writeDouble(triesPerSecond);
                    body.writeByte(0);
                    body.writeShort(versions.size());
                    for (Map.Entry<Integer, Long> held : versions.entrySet()) {
                        body.writeShort(held.getKey());
                        body.writeLong(held.getValue());
                    }
                });
    }

    private void write(byte[] frame) throws IOException {
        synchronized (this) {
            if (out != null) {
                out.write(frame);
                out.flush();
            }
        }
    }

    private synchronized void apply(byte[] frame) throws IOException {
        DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(frame, 2, frame.length - 2));
        switch (frame[0]) {
            case Frames.NODE -> {
                long node = in.readLong();
                Frames.text(in);
                ports.put(node, in.readUnsignedShort());
            }
            case Frames.BIND -> bind(in);
            case Frames.LINES -> lines(in);
            case Frames.WITHDRAW -> {
                long node = in.readLong();
                if (in.readUnsignedByte() == 1) {
                    withdrawn.add(node);
                } else {
                    withdrawn.remove(node);
                }
            }
            default -> {
                // Levels: this site applies none.
            }
        }
    }

    private void bind(DataInputStream in) throws IOException {
        int table = in.readUnsignedShort();
        long version = in.readLong();
        in.readLong();
        int methods = in.readInt();
        Map<Long, Double> before = tables.getOrDefault(table, Map.of());
        Map<Long, Double> next = new HashMap<>();
        int count = in.readInt();
        for (int i = 0; i < count; i++) {
            next.put(in.readLong(), in.readDouble());
        }
        for (int method = 0; method < 2; method++) {
            if ((methods >>> method & 1) == 1) {
                tableOfMethod.put(method, table);
            }
        }
        tables.put(table, next);
        tables.keySet().retainAll(Set.copyOf(tableOfMethod.values()));
        versions.merge(table, version, Math::max);
        boundOnStream.add(table);
        withdrawn.clear();
        next.forEach((node, weight) -> listener.line(this, table, port(node), weight));
        before.keySet().stream()
                .filter(node -> !next.containsKey(node))
                .forEach(node -> listener.line(this, table, port(node), 0));
    }

    private int port(long node) {
        return ports.getOrDefault(node, 0);
    }

    private void lines(DataInputStream in) throws IOException {
        int table = in.readUnsignedShort();
        long from = in.readLong();
        long to = in.readLong();
        in.readLong();
        if (!boundOnStream.contains(table) || !tables.containsKey(table)) {
            return;
        }
        boolean follows = versions.get(table) == from;
        Map<Long, Double> held = tables.get(table);
        int count = in.readInt();
        for (int i = 0; i < count; i++) {
            long node = in.readLong();
            double weight = in.readDouble();
            if (weight == 0) {
                held.remove(node);
            } else if (follows) {
                held.put(node, weight);
            }
            listener.line(this, table, port(node), weight);
        }
        if (follows) {
            versions.put(table, to);
        } else {
            long version = versions.get(table);
            write(
                    Frames.frame(
                            Frames.MISSED,
                            body -> {
                                body.writeShort(table);
                                body.writeLong(version);
                            }));
        }
    }

    private List<Map.Entry<Long, Double>> usable(int method) {
        Integer table = tableOfMethod.get(method);
        if (table == null) {
            return List.of();
        }
        return tables.get(table).entrySet().stream()
                .filter(line -> !withdrawn.contains(line.getKey()))
                .map(line -> Map.entry(line.getKey(), line.getValue()))
                .toList();
    }

    private void tries() {
        while (!stopped) {
            sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / triesPerSecond));
            int method = random.nextDouble() < 0.67 ? 0 : 1;
            long first = pick(method, 0);
            synchronized (this) {
                offered[method]++;
            }
            if (first != 0 && !send(first)) {
                long second = pick(method, first);
                if (second != 0) {
                    send(second);
                }
            }
        }
    }

    private synchronized long pick(int method, long other) {
        List<Map.Entry<Long, Double>> lines =
                usable(method).stream().filter(line -> line.getKey() != other).toList();
        double sum = lines.stream().mapToDouble(Map.Entry::getValue).sum();
        double drawn = random.nextDouble() * sum;
        for (Map.Entry<Long, Double> line : lines) {
            drawn -= line.getValue();
            if (drawn <= 0) {
                return line.getKey();
            }
        }
        return 0;
    }

    /** Sends a request; returns false after proof that it never ran. */
    private boolean send(long node) {
        int port;
        synchronized (this) {
            port = port(node);
        }
        boolean answered = false;
        boolean connected = false;
        try (Socket connection = new Socket()) {
            connection.connect(new InetSocketAddress("127.0.0.1", port), 400);
            connected = true;
            connection.setSoTimeout(1200);
            connection.getOutputStream().write('r');
            answered = connection.getInputStream().read() == 'y';
        } catch (IOException e) {
            // It counts as unanswered.
        }
        synchronized (this) {
            int[] sum = sums.computeIfAbsent(node, first -> new int[2]);
            sum[0]++;
            sum[1] += answered ? 0 : 1;
        }
        listener.tried(this, port, answered);
        return connected;
    }

    private void reports() {
        while (!stopped) {
            sleep(500);
            try {
                byte[] sumsFrame;
                byte[] offeredFrame;
                synchronized (this) {
                    Map<Long, int[]> taken = new HashMap<>(sums);
                    sums.clear();
                    int[] counts = offered.clone();
                    offered[0] = 0;
                    offered[1] = 0;
                    sumsFrame =
                            Frames.frame(
                                    Frames.SUMS,
                                    body -> {
                                        body.writeLong(500_000);
                                        body.writeShort(taken.size());
                                        for (Map.Entry<Long, int[]> sum : taken.entrySet()) {
                                            boolean any = sum.getValue()[0] > sum.getValue()[1];
                                            body.writeLong(sum.getKey());
                                            body.writeInt(sum.getValue()[0]);
                                            body.writeInt(sum.getValue()[1]);
                                            body.writeDouble(any ? 0.12 : Double.NaN);
                                            body.writeDouble(any ? 0.45 : Double.NaN);
                                        }
                                    });
                    offeredFrame =
                            Frames.frame(
                                    Frames.OFFERED,
                                    body -> {
                                        body.writeLong(500_000);
                                        body.writeByte(2);
                                        for (int method = 0; method < 2; method++) {
                                            body.writeByte(method);
                                            body.writeInt(counts[method]);
                                        }
                                    });
                }
                write(sumsFrame);
                write(offeredFrame);
            } catch (IOException e) {
                // The stream is gone; its own thread notices that.
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
