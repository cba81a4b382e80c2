package rosespread.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * Converts HOST:PORT to a socket address and resolves the host. The last colon separates the port,
 * so that a host may contain colons; port 0 means any free port.
 */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {
    private static final int MAX_PORT = 65_535;

    @Override
    public InetSocketAddress convert(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon < 1 || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > MAX_PORT) {
            throw new TypeConversionException(
                    "\"" + text + "\" is not HOST:PORT with a port of 0 to " + MAX_PORT);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(port));
    }
}
