import java.nio.file.Path;
import java.util.*;

/**
 * A site is lost with its relays: its servers and relays fall silent, the list notices each server
 * some seconds late.
 */
final class SiteLost {
    private static final double LENGTH_S = 24;
    private static final double FIRST_NOTICE_S = 4;
    private static final double LAST_NOTICE_S = 9;

    static int play(Path record, boolean trouble) throws Exception {
        World.Settings settings = new World.Settings();
        settings.proxies = 39;
        settings.queueCap = 1330;
        settings.graceS = 2.2;
        World world = new World(settings, record, Main.SEED);
        for (int i = 0; i < 30; i++) {
            boolean big = i % 16 < 9;
            world.addServer(
                    String.format("s-%04d", i), settings.zones.get(i % 3),
                    big ? "std-4" : "small-2", big ? 4.0 : 1.2);
        }
        world.publishAll();
        world.addProxies();
        World.Controller c = world.new Controller(0, world.folder);
        world.controllers.add(c);
        c.start();
        c.awaitReady();
        if (!c.used) {
            return 2;
        }
        double t0 = world.seconds(System.nanoTime()) + 15;
        String site = settings.zones.get(2);
        List<World.Proxy> relays = world.proxies.stream().filter(p -> p.zone.equals(site)).toList();
        List<World.Server> lost =
                world.servers.values().stream().filter(s -> s.zone.equals(site)).toList();
        if (trouble) {
            world.at(
                    t0,
                    () -> {
                        world.cut(relays);
                        lost.forEach(s -> s.up = false);
                        world.note("site " + site + " lost, servers " + lost.stream().map(s -> s.id).toList());
                    });
            for (int i = 0; i < lost.size(); i++) {
                World.Server server = lost.get(i);
                double notice =
                        FIRST_NOTICE_S
                                + (LAST_NOTICE_S - FIRST_NOTICE_S) * i / (lost.size() - 1);
                world.at(t0 + notice, () -> world.setState(List.of(server.id), "DELETED"));
            }
            world.at(
                    t0 + LENGTH_S,
                    () -> {
                        world.heal(relays);
                        lost.forEach(world::startsAgain);
                    });
            world.at(
                    t0 + LENGTH_S + 1,
                    () -> world.setState(lost.stream().map(s -> s.id).toList(), "SERVING"));
        }
        world.run(t0 + LENGTH_S + 10);
        return world.finish("drain");
    }
}
