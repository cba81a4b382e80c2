package rosespread.platform;

import java.net.InetSocketAddress;
import rosespread.config.ConfigException;

/** Addresses as the platform writes them; always figures, as there are no names to look up. */
final class AddressParser {
    private AddressParser() {}

    static InetSocketAddress read(String field, String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        String part = "(25[0-5]|(2[0-4]|1[0-9]|[1-9])?[0-9])";
        if (!host.matches(part + "(\\." + part + "){3}")
                || !port.matches("[0-9]{1,5}")
                || Integer.parseInt(port) < 1
                || Integer.parseInt(port) > 65_535) {
            throw new ConfigException(field + " \"" + text + "\" is not like 10.0.0.4:3000");
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }
}
