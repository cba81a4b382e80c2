package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A small deployment like costa-este: three rooms, each with five till servers, a controller of the
 * project's own channel and three relays that join only the controller of their room.
 */
final class Costa {
    static final int GRACE_MILLIS = 2000;

    /** What the protocol page adds to the grace on sockets. */
    static final int SLACK_MILLIS = 300;

    static final List<String> ROOMS = List.of("maldonado", "san-carlos", "punta-norte");

    /** One controller with its list and its relays. */
    final class Room {
        final String name;
        final Catalog catalog;
        final int channelPort = Programs.freePort();
        final int controlPort = Programs.freePort();
        final List<Relay> relays = new CopyOnWriteArrayList<>();
        Process process;

        Room(String name) throws IOException {
            this.name = name;
            this.catalog = new Catalog(nodes);
        }

        void start() throws IOException {
            Path state = programs.temporary.resolve("state-" + name);
            process =
                    programs.start(
                            name,
                            "controller --name "
                                    + name
                                    + " --state "
                                    + state
                                    + " --listen 127.0.0.1:"
                                    + channelPort
                                    + " --control 127.0.0.1:"
                                    + controlPort);
        }

        boolean awaitControl(long millis) throws InterruptedException {
            long deadline = System.nanoTime() + millis * 1_000_000L;
            while (System.nanoTime() < deadline) {
                if (programs.request("GET", controlPort, "/v1/drains", "").status() == 200) {
                    return true;
                }
                Thread.sleep(50);
            }
            return false;
        }
    }

    final Programs programs;
    final Record record;
    final List<NodeServer> nodes = new ArrayList<>();
    final List<Room> rooms = new ArrayList<>();
    private final int messageLimit;

    Costa(Programs programs, Record record, int nodesInRoom, int messageLimit)
            throws IOException {
        this.programs = programs;
        this.record = record;
        this.messageLimit = messageLimit;
        for (int i = 0; i < nodesInRoom * ROOMS.size(); i++) {
            nodes.add(new NodeServer("till-" + (i + 1), ROOMS.get(i % ROOMS.size())));
        }
    }

    void addRoom(String name) throws IOException {
        rooms.add(new Room(name));
    }

    String fleet() {
        return String.join(
                ",", rooms.stream().map(room -> "127.0.0.1:" + room.controlPort).toList());
    }

    /** Starts all controllers and gives them their settings. */
    boolean start() throws IOException, InterruptedException {
        for (Room room : rooms) {
            room.start();
        }
        for (Room room : rooms) {
            if (!room.awaitControl(20_000)) {
                record.line(room.name + " does not answer");
                return false;
            }
            Programs.HttpResult put =
                    programs.request("PUT", room.controlPort, "/v1/settings", settings(room));
            record.line("settings of " + room.name + ": " + put.status());
            if (put.status() != 200) {
                record.line(put.body());
                return false;
            }
        }
        return true;
    }

    private String settings(Room room) {
        List<String> peers =
                rooms.stream()
                        .filter(other -> other != room)
                        .map(other -> "\"127.0.0.1:" + other.controlPort + "\"")
                        .toList();
        return "{\"seed\":7,\"peers\":["
                + String.join(",", peers)
                + "],\"zones\":[\"maldonado\",\"san-carlos\",\"punta-norte\"],"
                + "\"kinds\":[\"small-2core\"],\"methods\":["
                + "{\"name\":\"rate-quote\",\"criticality\":1},"
                + "{\"name\":\"till-entry\",\"criticality\":3}],"
                + "\"list\":{\"port\":"
                + room.catalog.port
                + ",\"service\":\"tills\",\"waitMs\":5000,\"silentAfterMs\":1500},"
                + "\"probes\":{\"allowed\":false},\"levels\":\"none\","
                + "\"channel\":{\"linesPerSecond\":1400,\"linesPerMessage\":4,"
                + "\"queueLimit\":2100,\"orderPrice\":0.04,\"messageLimit\":"
                + messageLimit
                + ",\"messageSpanMs\":10000,\"longestWayMs\":420},"
                + "\"reportPeriodMs\":500,\"drainGraceMs\":"
                + GRACE_MILLIS
                + ",\"cold\":{\"timeMs\":16000,\"share\":0.16,\"windowMs\":1500}}";
    }

    /** Starts a room's relays. */
    void addRelays(Room room, int count, double triesPerSecond, Relay.Listener listener) {
        for (int i = 0; i < count; i++) {
            String name = room.name + "-" + (i + 1);
            int zone = Math.floorMod(rooms.indexOf(room), ROOMS.size());
            room.relays.add(
                    new Relay(
                            name,
                            ROOMS.get(zone),
                            room.channelPort,
                            triesPerSecond,
                            name.hashCode(),
                            listener));
        }
    }

    /** Waits until each relay may pick this many nodes for both methods. */
    boolean awaitLines(int lines, long millis) throws InterruptedException {
        long deadline = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() < deadline) {
            boolean all =
                    rooms.stream()
                            .flatMap(room -> room.relays.stream())
                            .allMatch(relay -> relay.lines(0) >= lines && relay.lines(1) >= lines);
            if (all) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    NodeServer node(String name) {
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElseThrow();
    }
}
