package slateseam.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays every recorded exchange against a router; each file states which failure it guards against. */
class RecordedExchangesTest {
    static List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/exchanges"))) {
            return files.sorted().toList();
        }
    }

    @ParameterizedTest
    @MethodSource("files")
    void theRouterKeepsToTheRecord(Path file) throws Exception {
        new Recorded(file).play();
    }
}
