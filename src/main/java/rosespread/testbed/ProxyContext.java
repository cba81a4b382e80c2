package rosespread.testbed;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import rosespread.api.MethodId;
import rosespread.http.HttpClient;

/**
 * Objects shared by all proxies of a process.
 *
 * @param random used on the loop's thread only
 * @param limitsAreShares whether an admission limit is the ratio of RPCs to admit; otherwise it is
 *     in RPCs per second
 */
record ProxyContext(
        TestLoop loop,
        SiteDefinition site,
        RandomGenerator random,
        TrafficRecorder recorder,
        ControllerConnector connector,
        ControllerLinks links,
        NodeDirectory directory,
        ProxyFaults faults,
        HttpClient http,
        boolean limitsAreShares) {

    MethodId methodId(SiteDefinition.Method method) {
        return new MethodId(site.methods().indexOf(method));
    }

    /** Returns the ids of all methods in the order of the site definition. */
    List<MethodId> methodIds() {
        return IntStream.range(0, site.methods().size()).mapToObj(MethodId::new).toList();
    }
}
