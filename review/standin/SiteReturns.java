import java.nio.file.Path;
import java.util.*;

/**
 * A site is lost with its relays and comes back: its relays join before the list shows its servers
 * again. One class may only be served in the relay's own site.
 */
final class SiteReturns {
    private static final double LENGTH_S = 14;
    private static final double NOTICE_S = 0.7;
    private static final double ADD_S = 2.0;

    static int play(Path record, boolean trouble) throws Exception {
        World.Settings settings = new World.Settings();
        settings.classes =
                List.of(
                        new World.Klass("quote", 0.62, 0.2, false),
                        new World.Klass("record", 0.38, 0.12, true));
        settings.proxies = 9;
        settings.requestsPerS = 110;
        settings.queueCap = 1200;
        settings.graceS = 2.1;
        settings.redialMaxS = 1.0;
        settings.noise = 0.12;
        settings.swing = 0.15;
        World world = new World(settings, record, Main.SEED);
        for (int i = 0; i < 15; i++) {
            boolean big = i % 16 < 9;
            world.addServer(
                    String.format("s-%04d", i), settings.zones.get(i % 3),
                    big ? "std-4" : "small-2", big ? 4.0 : 1.2);
        }
        world.publishAll();
        world.addProxies();
        world.proxies.forEach(World.Proxy::standing);
        World.Controller c = world.new Controller(0, world.folder);
        world.controllers.add(c);
        c.start();
        c.awaitReady();
        if (!c.used) {
            return 2;
        }
        double t0 = world.seconds(System.nanoTime()) + 12;
        String site = settings.zones.get(2);
        List<World.Proxy> relays = world.proxies.stream().filter(p -> p.zone.equals(site)).toList();
        List<World.Server> lost =
                world.servers.values().stream().filter(s -> s.zone.equals(site)).toList();
        List<String> ids = lost.stream().map(s -> s.id).toList();
        if (trouble) {
            world.at(
                    t0,
                    () -> {
                        world.note("site " + site + " lost with its relays, servers " + ids);
                        lost.forEach(s -> s.up = false);
                        world.die(relays);
                    });
            world.at(t0 + NOTICE_S, () -> world.setState(ids, "DELETED"));
            world.at(
                    t0 + LENGTH_S,
                    () -> {
                        lost.forEach(world::startsAgain);
                        world.comeBack(relays);
                        world.note("site " + site + " is back");
                    });
            world.at(t0 + LENGTH_S + ADD_S, () -> world.setState(ids, "SERVING"));
        }
        for (double t = t0 - 1; t < t0 + 60; t += 5) {
            world.at(
                    t,
                    () ->
                            world.quiet(
                                    "proxy " + relays.get(0).number + " (" + site + "): "
                                            + relays.get(0).tables));
        }
        world.run(t0 + LENGTH_S + 32);
        return world.finish("bare");
    }
}
