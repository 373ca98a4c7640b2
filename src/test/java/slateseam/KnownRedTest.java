package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests of faults that are known and open are expected to fail, and stand in {@code KNOWN-RED.txt}: just these, and few. */
class KnownRedTest {
    private static final int MOST = 3;
    private static final Pattern EXPECTED_TO_FAIL =
            Pattern.compile("^ +@ExpectedToFail\\(.*?\\)\\s+void (\\w+)\\(", Pattern.DOTALL | Pattern.MULTILINE);

    @Test
    void theListNamesEachTestThatIsExpectedToFail() throws IOException {
        List<String> listed = Files.readAllLines(Path.of("KNOWN-RED.txt")).stream()
                .map(line -> line.split(" \\| ", 2)[0])
                .toList();
        assertThat(listed).hasSizeLessThanOrEqualTo(MOST);
        assertThat(listed).containsExactlyInAnyOrderElementsOf(expectedToFail());
    }

    private static List<String> expectedToFail() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            for (Path file : files.filter(path -> path.toString().endsWith("Test.java"))
                    .sorted()
                    .toList()) {
                Matcher matcher = EXPECTED_TO_FAIL.matcher(Files.readString(file));
                while (matcher.find()) {
                    found.add(file.getFileName().toString().replace(".java", ".") + matcher.group(1));
                }
            }
        }
        return found;
    }
}
