package rosespread.testbed;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import rosespread.api.MethodId;
import rosespread.http.HttpClient;

/**
 * What all proxies of a process share.
 *
 * @param random drawn from on the loop's thread only
 * @param limitsAreShares whether admission limits are shares of RPCs, else rates
 */
record ProxyContext(
        TestLoop loop,
        SiteDefinition site,
        RandomGenerator random,
        TrafficRecorder recorder,
        ControllerConnector connector,
        ControllerLinks links,
        NodeDirectory directory,
        ProxyDisturbances disturbances,
        HttpClient http,
        boolean limitsAreShares) {

    MethodId methodId(SiteDefinition.Method method) {
        return new MethodId(site.methods().indexOf(method));
    }

    /** The ids of all methods in their order. */
    List<MethodId> methodIds() {
        return IntStream.range(0, site.methods().size()).mapToObj(MethodId::new).toList();
    }
}
