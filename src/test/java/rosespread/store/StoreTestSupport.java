package rosespread.store;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Gives each test a store in an empty folder and closes it afterwards. */
abstract class StoreTestSupport {
    StoreFixture fixture;

    @BeforeEach
    void create(@TempDir Path folder) {
        fixture = new StoreFixture(folder);
    }

    @AfterEach
    void close() throws IOException {
        fixture.close();
    }
}
