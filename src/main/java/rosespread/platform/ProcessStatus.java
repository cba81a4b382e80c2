package rosespread.platform;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Socket and process metrics at one moment.
 *
 * @param openConnections open connections
 * @param maxWriteBufferBytes the most bytes queued for one peer
 * @param residentKilobytes resident memory as reported by the kernel, negative if unknown
 * @param fileDescriptors open file descriptors, negative if unknown
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

    /** Reads the process metrics from the kernel; the caller supplies the socket metrics. */
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
