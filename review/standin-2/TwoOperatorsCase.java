package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two operators drain half of the servers each, at two controllers of a fleet of three. Each server
 * stays listed as ready and answers. Checks that no joined relay is without a server to pick for
 * longer than the limit.
 *
 * <p>Arguments: unused, the repository, a temporary folder, the record, whether there is trouble
 * (both act at once; else one after the other). Exit code: 0 the rule held, 1 it was broken, 2 the
 * case could not run.
 */
public final class TwoOperatorsCase implements Relay.Listener {
    private static final int NODES_IN_ROOM = 6;
    private static final int RELAYS_IN_ROOM = 3;
    private static final double TRIES_PER_SECOND = 10;
    private static final int LIMIT_MILLIS = 3700;
    private static final int WATCH_MILLIS = 20_000;

    private final Record record;
    private final Costa site;
    private final boolean trouble;
    private final Map<Relay, Boolean> joined = new HashMap<>();
    private final Map<Relay, Long> withoutSince = new HashMap<>();
    private final Map<Relay, Long> longestMillis = new HashMap<>();
    private final AtomicInteger accepted = new AtomicInteger();

    private TwoOperatorsCase(Record record, Costa site, boolean trouble) {
        this.record = record;
        this.site = site;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(arguments[3]));
                Programs programs =
                        new Programs(Path.of(arguments[1]), Path.of(arguments[2]), record)) {
            boolean trouble = arguments[4].equals("1");
            record.line("case two operators, trouble " + trouble);
            Costa site = new Costa(programs, record, NODES_IN_ROOM, 30);
            for (String room : Costa.ROOMS) {
                site.addRoom(room);
            }
            TwoOperatorsCase played = new TwoOperatorsCase(record, site, trouble);
            if (played.run()) {
                code = played.verdict();
            }
            record.line("exit code " + code);
        }
        Runtime.getRuntime().exit(code);
    }

    private boolean run() throws Exception {
        if (!site.start()) {
            return false;
        }
        for (Costa.Room room : site.rooms) {
            site.addRelays(room, RELAYS_IN_ROOM, TRIES_PER_SECOND, this);
        }
        if (!site.awaitLines(site.nodes.size(), 20_000)) {
            record.line("not all relays have all nodes");
            return false;
        }
        record.line("all relays have tables with all " + site.nodes.size() + " nodes");
        Thread.sleep(4000);
        List<String> first = new ArrayList<>();
        List<String> second = new ArrayList<>();
        for (int i = 0; i < site.nodes.size(); i++) {
            (i / Costa.ROOMS.size() % 2 == 0 ? first : second).add(site.nodes.get(i).name);
        }
        CountDownLatch done = new CountDownLatch(2);
        operator("first operator", site.rooms.get(0), first, done);
        if (!trouble) {
            Thread.sleep(6000);
        }
        operator("second operator", site.rooms.get(1), second, done);
        done.await();
        watch();
        return true;
    }

    private void operator(String name, Costa.Room room, List<String> nodes, CountDownLatch done) {
        Thread thread =
                new Thread(
                        () -> {
                            for (String node : nodes) {
                                Programs.HttpResult result =
                                        site.programs.request(
                                                "POST",
                                                room.controlPort,
                                                "/v1/nodes/" + node + "/drain",
                                                "");
                                if (result.status() == 200) {
                                    accepted.incrementAndGet();
                                }
                                record.line(
                                        name
                                                + " drains "
                                                + node
                                                + " at "
                                                + room.name
                                                + ": "
                                                + result.status()
                                                + " "
                                                + result.body().replaceAll("\\s+", " "));
                            }
                            done.countDown();
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() throws InterruptedException {
        long end = System.nanoTime() + WATCH_MILLIS * 1_000_000L;
        String before = "";
        while (System.nanoTime() < end) {
            StringBuilder now = new StringBuilder();
            for (Costa.Room room : site.rooms) {
                for (Relay relay : room.relays) {
                    int lines = Math.min(relay.lines(0), relay.lines(1));
                    now.append(' ').append(relay.name).append(':').append(lines);
                    check(relay, lines);
                }
            }
            if (!now.toString().equals(before)) {
                before = now.toString();
                record.line("servers to pick:" + before);
            }
            Thread.sleep(50);
        }
    }

    private synchronized void check(Relay relay, int lines) {
        if (lines > 0 || !joined.containsKey(relay)) {
            withoutSince.remove(relay);
            return;
        }
        long now = System.nanoTime();
        long since = withoutSince.computeIfAbsent(relay, first -> now);
        longestMillis.merge(relay, (now - since) / 1_000_000L, Math::max);
    }

    private int verdict() throws Exception {
        for (Costa.Room room : site.rooms) {
            Programs.HttpResult nodes =
                    site.programs.request("GET", room.controlPort, "/v1/status", "");
            record.line(room.name + ": " + nodes.body().replaceAll("\\s+", " "));
        }
        long worst = longestMillis.values().stream().mapToLong(millis -> millis).max().orElse(0);
        record.line(accepted + " drains of " + site.nodes.size() + " servers were accepted");
        record.line(
                longestMillis.size()
                        + " relays were without a server, the longest for "
                        + worst
                        + " ms, allowed "
                        + (LIMIT_MILLIS + Costa.SLACK_MILLIS)
                        + " ms; all "
                        + site.nodes.size()
                        + " servers were listed as ready and answered all the time");
        return worst > LIMIT_MILLIS + Costa.SLACK_MILLIS ? 1 : 0;
    }

    @Override
    public synchronized void joined(Relay relay) {
        joined.put(relay, true);
    }

    @Override
    public synchronized void left(Relay relay, String why) {
        joined.remove(relay);
        record.line(relay.name + " left: " + why);
    }

    @Override
    public void message(Relay relay, int lines, int waiting) {}

    @Override
    public void line(Relay relay, int table, int port, double weight) {}

    @Override
    public void tried(Relay relay, int port, boolean answered) {}
}
