package rosespread.discovery;

/** Creates entries of Consul's health catalog as JSON. */
final class CatalogFixture {
    private CatalogFixture() {}

    /** Returns a service at 127.0.0.1:80 in zone "a" with machine type "k" and the given checks. */
    static String entry(String name, String checks) {
        return "{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\""
                + name
                + "\",\"Port\":80,"
                + "\"Tags\":[\"zone=a\"],\"Meta\":{\"kind\":\"k\",\"started\":\"77\"}},\"Checks\":["
                + checks
                + "]}";
    }
}
