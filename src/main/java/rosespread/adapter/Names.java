package rosespread.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntFunction;
import rosespread.api.KindId;
import rosespread.api.MethodId;
import rosespread.api.Observer;
import rosespread.api.Settings;
import rosespread.api.ZoneId;

/** The names that one conductor's settings give, and the settings themselves; names end here. */
final class Names {
    private final Map<String, Integer> zones = new TreeMap<>();
    private final Map<String, Integer> kinds = new TreeMap<>();
    private final Map<String, Integer> methods = new TreeMap<>();
    private final int utilization;

    Names(Fields info) throws WireException {
        for (Object zone : info.array("azs")) {
            zones.putIfAbsent(String.valueOf(zone), zones.size());
        }
        for (Object kind : info.array("kinds")) {
            kinds.putIfAbsent(String.valueOf(kind), kinds.size());
        }
        for (Fields method : info.requiredObjects("profiles")) {
            methods.put(method.text("name"), methods.size());
        }
        utilization = info.has("report") ? info.object("report").array("columns").indexOf("utilization") : -1;
    }

    /** A name that the settings lack gets the next number. */
    ZoneId zone(String name) {
        zones.putIfAbsent(name, zones.size());
        return new ZoneId(zones.get(name));
    }

    KindId kind(String name) {
        kinds.putIfAbsent(name, kinds.size());
        return new KindId(kinds.get(name));
    }

    MethodId method(String name) throws WireException {
        Integer place = methods.get(name);
        if (place == null) {
            throw new WireException("no method \"" + name + "\" among the settings");
        }
        return new MethodId(place);
    }

    double utilization(Fields event) throws WireException {
        List<?> report = event.array("report");
        boolean told = utilization >= 0 && utilization < report.size();
        return told && report.get(utilization) instanceof Number value ? value.doubleValue() : Double.NaN;
    }

    static Observer.Verdict verdict(String name) {
        return switch (name) {
            case "delivered" -> Observer.Verdict.OK;
            case "shed" -> Observer.Verdict.PUSHED_BACK;
            case "expired" -> Observer.Verdict.TIMED_OUT;
            case "dial_failed", "dropped" -> Observer.Verdict.UNREACHABLE;
            default -> Observer.Verdict.ABORTED;
        };
    }

    static Observer.ListKind listKind(String name) throws WireException {
        return switch (name) {
            case "Partial" -> Observer.ListKind.CHANGES;
            case "Complete" -> Observer.ListKind.WHOLE;
            case "Persisted" -> Observer.ListKind.REMEMBERED;
            case "Error" -> Observer.ListKind.UNAVAILABLE;
            default -> throw new WireException("no list is of kind \"" + name + "\"");
        };
    }

    static Observer.NodeState state(String name) throws WireException {
        return switch (name) {
            case "ready" -> Observer.NodeState.READY;
            case "draining" -> Observer.NodeState.DRAINING;
            case "gone" -> Observer.NodeState.GONE;
            default -> throw new WireException("no node is \"" + name + "\"");
        };
    }

    Settings settings(Fields info) throws WireException {
        Fields domain = info.object("domain");
        Fields rules = info.object("contract");
        Fields limits = info.object("policyLimits");
        List<Settings.Method> decoded = new ArrayList<>();
        for (Fields method : info.requiredObjects("profiles")) {
            decoded.add(method(method, domain.flagAt("zoneBound", decoded.size())));
        }
        return new Settings(
                List.copyOf(decoded),
                zones.size(),
                domain.integer("shards", 0) > 0,
                info.text("membershipMode", "automatic").equals("subscribe"),
                limits.flag("probes"),
                throttle(domain.text("throttleBy", "off")),
                domain.number("channelRate"),
                domain.number("overhead"),
                domain.number("queueCap"),
                domain.number("costPerLine", 0),
                domain.integer("pushesAllowed", 0),
                domain.nanos("countedOver", 0),
                domain.nanos("pushDelayMax", 0),
                domain.nanos("reportEvery"),
                rules.nanos("stopSendingWithin"),
                rules.nanos("cold"),
                rules.number("coldShare"),
                rules.nanos("overloadFor"));
    }

    private Settings.Method method(Fields method, boolean ownZone) throws WireException {
        return new Settings.Method(
                method.number("importance"),
                places(method, "onlyKinds", name -> kind(name).value(), KindId::new),
                places(method, "onlyZones", name -> zone(name).value(), ZoneId::new),
                ownZone);
    }

    private interface Place {
        int of(String name);
    }

    private static <T> Set<T> places(Fields method, String key, Place place, IntFunction<T> id)
            throws WireException {
        Set<T> all = new TreeSet<>();
        for (Object name : method.array(key)) {
            all.add(id.apply(place.of(String.valueOf(name))));
        }
        return all;
    }

    private static Settings.Throttle throttle(String name) {
        return switch (name) {
            case "ratio" -> Settings.Throttle.SHARE;
            case "rps" -> Settings.Throttle.RATE;
            default -> Settings.Throttle.NONE;
        };
    }
}
