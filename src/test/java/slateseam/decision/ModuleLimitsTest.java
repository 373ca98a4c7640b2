package slateseam.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Keeps Brain.java readable: at most 650 non-blank lines of at most 110 characters. */
class ModuleLimitsTest {
    @Test
    void brainStaysWithinItsSizeLimits() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/slateseam/decision/Brain.java"));
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= 650, "Brain.java has " + filled + " non-blank lines");
        for (int i = 0; i < lines.size(); i++) {
            assertTrue(lines.get(i).length() <= 110, "Brain.java:" + (i + 1) + " is too long");
        }
    }
}
