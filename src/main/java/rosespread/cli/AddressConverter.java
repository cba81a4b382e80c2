package rosespread.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** HOST:PORT. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1
                || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
            throw new TypeConversionException(
                    "\"" + text + "\" is not HOST:PORT with a port of 0 to 65535");
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
