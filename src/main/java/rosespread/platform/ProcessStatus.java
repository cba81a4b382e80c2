package rosespread.platform;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Figures of the sockets and the process at one moment.
 *
 * @param openConnections connections open now
 * @param maxWriteBufferBytes the most that one peer has not read yet
 * @param residentKilobytes resident memory as the kernel has it, negative if unknown
 * @param fileDescriptors file descriptors open now, negative if unknown
 */
record ProcessStatus(
        int openConnections,
        long maxWriteBufferBytes,
        long residentKilobytes,
        int fileDescriptors) {
    private static final Path MEMORY = Path.of("/proc/self/statm");
    private static final File DESCRIPTORS = new File("/proc/self/fd");
    private static final int RESIDENT_FIELD = 1;
    private static final int KILOBYTES_PER_PAGE = 4;

    /** Reads the figures that the kernel keeps of this process. */
    static ProcessStatus read(int openConnections, long maxWriteBufferBytes) {
        return new ProcessStatus(
                openConnections, maxWriteBufferBytes, residentMemory(), openDescriptors());
    }

    private static long residentMemory() {
        try {
            String[] pages = Files.readString(MEMORY, StandardCharsets.US_ASCII).split(" ");
            return Long.parseLong(pages[RESIDENT_FIELD]) * KILOBYTES_PER_PAGE;
        } catch (IOException | RuntimeException e) {
            return -1;
        }
    }

    private static int openDescriptors() {
        String[] names = DESCRIPTORS.list();
        return names == null ? -1 : names.length;
    }
}
