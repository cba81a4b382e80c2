package rosespread.platform;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import rosespread.config.ConfigException;

/**
 * Parses socket addresses as the platform writes them: dotted-decimal IPv4 address, colon, port.
 * The platform has no host names to resolve.
 */
final class AddressParser {
    private static final String OCTET = "(25[0-5]|(2[0-4]|1[0-9]|[1-9])?[0-9])";
    private static final Pattern HOST = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");
    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;

    private AddressParser() {}

    /**
     * Parses an address.
     *
     * @param field name of the field, for the error
     * @throws ConfigException if the text is not an IPv4 address and a port from 1 to 65535
     */
    static InetSocketAddress parse(String field, String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!HOST.matcher(host).matches() || !isPort(port)) {
            throw new ConfigException(
                    field
                            + " \""
                            + text
                            + "\" is not an IPv4 address and port such as 10.0.0.4:3000");
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }

    private static boolean isPort(String text) {
        if (!PORT.matcher(text).matches()) {
            return false;
        }
        int port = Integer.parseInt(text);
        return port >= 1 && port <= MAX_PORT;
    }
}
