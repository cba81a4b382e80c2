package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An operator drains one till server at three controllers. What follows is one of three:
 *
 * <ul>
 *   <li>late-list: the drained server is switched off, and one list tells so some seconds late;
 *   <li>silent-list: one controller restarts while its list is silent;
 *   <li>late-request: a request to end the drain arrives after the drain was ordered again.
 * </ul>
 *
 * <p>Checks that no joined relay tries the server later than the grace after its controller was
 * told of the drain.
 *
 * <p>Arguments: the case, the repository, a temporary folder, the record, whether there is trouble.
 * Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
public final class DrainCase implements Relay.Listener {
    private static final String DRAINED = "till-7";
    private static final int RELAYS_IN_ROOM = 3;
    private static final double TRIES_PER_SECOND = 12;
    private static final int LATE_MILLIS = 5500;
    private static final int CUT_MILLIS = 6000;

    private final Record record;
    private final Costa site;
    private final boolean trouble;
    private final int port;
    private final Map<Relay, Long> joinedAt = new HashMap<>();
    private final Map<Relay, Costa.Room> roomOf = new HashMap<>();
    private final Map<Costa.Room, Long> toldAt = new HashMap<>();
    private final Map<Costa.Room, Integer> lateTries = new HashMap<>();
    private final Map<Costa.Room, Integer> lateUnanswered = new HashMap<>();
    private final List<String> details = new ArrayList<>();
    private long worstMillis;

    private DrainCase(Record record, Costa site, boolean trouble) {
        this.record = record;
        this.site = site;
        this.trouble = trouble;
        this.port = site.node(DRAINED).port;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[3]));
                Programs programs =
                        new Programs(Path.of(arguments[1]), Path.of(arguments[2]), record)) {
            boolean trouble = arguments[4].equals("1");
            record.line("case " + arguments[0] + ", trouble " + trouble);
            Costa site = new Costa(programs, record, 5, 30);
            for (String room : Costa.ROOMS) {
                site.addRoom(room);
            }
            DrainCase played = new DrainCase(record, site, trouble);
            if (played.begin()) {
                boolean ran =
                        switch (arguments[0]) {
                            case "late-list" -> played.lateList();
                            case "silent-list" -> played.silentList();
                            default -> played.lateRequest();
                        };
                code = ran ? played.verdict() : 2;
            }
            record.line("exit code " + code);
        }
        Runtime.getRuntime().exit(code);
    }

    private boolean begin() throws Exception {
        if (!site.start()) {
            return false;
        }
        for (Costa.Room room : site.rooms) {
            site.addRelays(room, RELAYS_IN_ROOM, TRIES_PER_SECOND, this);
        }
        for (Costa.Room room : site.rooms) {
            room.relays.forEach(relay -> noteRoom(relay, room));
        }
        if (!site.awaitLines(site.nodes.size(), 20_000)) {
            record.line("not all relays have all nodes");
            return false;
        }
        record.line("all relays have tables with all " + site.nodes.size() + " nodes");
        Thread.sleep(4000);
        return true;
    }

    private synchronized void noteRoom(Relay relay, Costa.Room room) {
        roomOf.put(relay, room);
    }

    /** The drained server is stopped; one controller hears of it late. */
    private boolean lateList() throws Exception {
        int drained =
                site.programs.tool("fleet drain " + DRAINED + " --wait 15 --fleet " + site.fleet());
        if (drained != 0) {
            record.line("the drain was not done everywhere");
            return false;
        }
        for (Costa.Room room : site.rooms) {
            told(room);
        }
        site.node(DRAINED).switchOff();
        record.line(DRAINED + " is switched off, as the tool says that it is empty");
        for (Costa.Room room : site.rooms) {
            boolean late = trouble && room == site.rooms.get(1);
            room.catalog.remove(
                    DRAINED,
                    late ? LATE_MILLIS : 300,
                    () -> record.line("list of " + room.name + " no longer has " + DRAINED));
        }
        watch(15_000);
        return true;
    }

    /** One controller is down as the drain is ordered, and starts again with a silent list. */
    private boolean silentList() throws Exception {
        Costa.Room restarted = site.rooms.get(1);
        if (trouble) {
            restarted.catalog.setSilent(true);
            record.line("list of " + restarted.name + " is silent from now on");
        }
        site.programs.terminate(restarted.process);
        record.line(restarted.name + " has ended after SIGTERM");
        int drained = site.programs.tool("fleet drain " + DRAINED + " --fleet " + site.fleet());
        if (drained != 4) {
            record.line("expected exit code 4: done at some");
            return false;
        }
        for (Costa.Room room : site.rooms) {
            if (room != restarted) {
                told(room);
            }
        }
        restarted.start();
        long deadline = System.nanoTime() + 15_000_000_000L;
        while (!knowsDrain(restarted)) {
            if (System.nanoTime() > deadline) {
                record.line(restarted.name + " has not learned of the drain");
                return false;
            }
            Thread.sleep(50);
        }
        told(restarted);
        watch(20_000);
        return true;
    }

    /**
     * A server is drained. The operator ends the drain at one controller, whose way is cut, gets no
     * answer, and drains the server again everywhere; the first request arrives after that.
     */
    private boolean lateRequest() throws Exception {
        Costa.Room cutOff = site.rooms.get(1);
        DelayProxy way = new DelayProxy(cutOff.controlPort);
        String fleet = site.fleet().replace(":" + cutOff.controlPort, ":" + way.port);
        if (site.programs.tool("fleet drain " + DRAINED + " --fleet " + fleet) != 0) {
            record.line("the first drain was not done everywhere");
            return false;
        }
        Thread.sleep(3000);
        if (trouble) {
            way.cut(CUT_MILLIS);
            record.line("the operator's way to " + cutOff.name + " is cut for " + CUT_MILLIS + " ms");
        }
        site.programs.tool(
                "fleet undrain " + DRAINED + " --timeout 1.5 --fleet 127.0.0.1:" + way.port);
        int again =
                site.programs.tool("fleet drain " + DRAINED + " --timeout 1.5 --fleet " + fleet);
        if (again != (trouble ? 4 : 0)) {
            record.line("the second drain had an unexpected end");
            return false;
        }
        for (Costa.Room room : site.rooms) {
            if (!trouble || room != cutOff) {
                told(room);
            }
        }
        watch(20_000);
        return true;
    }

    private boolean knowsDrain(Costa.Room room) {
        Programs.HttpResult drains =
                site.programs.request("GET", room.controlPort, "/v1/drains", "");
        return drains.status() == 200
                && drains.body().contains("\"" + DRAINED + "\"")
                && drains.body().contains("true");
    }

    private synchronized void told(Costa.Room room) {
        toldAt.put(room, System.nanoTime());
        record.line(room.name + " has been told that " + DRAINED + " drains");
    }

    private void watch(int millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000L;
        Map<String, String> before = new HashMap<>();
        while (System.nanoTime() < end) {
            Thread.sleep(500);
            for (Costa.Room room : site.rooms) {
                long holding = room.relays.stream().filter(relay -> relay.holds(port)).count();
                Programs.HttpResult drains =
                        site.programs.request("GET", room.controlPort, "/v1/drains", "");
                String now =
                        holding
                                + " relays hold it, drains "
                                + drains.body().replaceAll("\\s+", " ");
                if (!now.equals(before.put(room.name, now))) {
                    record.line(room.name + ": " + now);
                }
            }
        }
    }

    private synchronized int verdict() throws Exception {
        details.forEach(record::line);
        int late = 0;
        for (Costa.Room room : site.rooms) {
            int tries = lateTries.getOrDefault(room, 0);
            late += tries;
            record.line(
                    room.name
                            + ": "
                            + tries
                            + " tries of its relays at "
                            + DRAINED
                            + " later than grace and slack, of which unanswered "
                            + lateUnanswered.getOrDefault(room, 0));
            site.programs.copyLog(room.name, "drain ", "end of drain", "node list", "tables restored");
        }
        record.line(
                "latest try "
                        + worstMillis
                        + " ms after the controller was told, allowed "
                        + (Costa.GRACE_MILLIS + Costa.SLACK_MILLIS)
                        + " ms");
        return late > 0 ? 1 : 0;
    }

    @Override
    public synchronized void joined(Relay relay) {
        joinedAt.put(relay, System.nanoTime());
        record.line(relay.name + " joined");
    }

    @Override
    public synchronized void left(Relay relay, String why) {
        if (joinedAt.remove(relay) != null) {
            record.line(relay.name + " left: " + why);
        }
    }

    @Override
    public void message(Relay relay, int lines, int waiting) {}

    @Override
    public void line(Relay relay, int table, int nodePort, double weight) {
        if (nodePort == port) {
            record.line(relay.name + ": table " + table + " " + DRAINED + " weight " + weight);
        }
    }

    @Override
    public synchronized void tried(Relay relay, int nodePort, boolean answered) {
        Costa.Room room = roomOf.get(relay);
        Long told = room == null ? null : toldAt.get(room);
        Long joined = joinedAt.get(relay);
        if (nodePort != port || told == null || joined == null) {
            return;
        }
        long millis = (System.nanoTime() - Math.max(told, joined)) / 1_000_000L;
        worstMillis = Math.max(worstMillis, millis);
        if (millis > Costa.GRACE_MILLIS + Costa.SLACK_MILLIS) {
            lateTries.merge(room, 1, Integer::sum);
            lateUnanswered.merge(room, answered ? 0 : 1, Integer::sum);
            if (details.size() < 20) {
                details.add(
                        String.format(
                                "  late: at %.3f %s tried %s, %d ms after the drain, %s",
                                record.seconds(System.nanoTime()),
                                relay.name,
                                DRAINED,
                                millis,
                                answered ? "answered" : "not answered"));
            }
        }
    }
}
