package rosespread.discovery;

/** Entries of Consul's health catalogue. */
final class CatalogFixture {
    private CatalogFixture() {}

    /** A service at 127.0.0.1:80 in zone "a", of machine type "k", with these checks. */
    static String entry(String name, String checks) {
        return "{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\""
                + name
                + "\",\"Port\":80,"
                + "\"Tags\":[\"zone=a\"],\"Meta\":{\"kind\":\"k\",\"started\":\"77\"}},\"Checks\":["
                + checks
                + "]}";
    }
}
