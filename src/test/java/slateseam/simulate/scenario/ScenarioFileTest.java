package slateseam.simulate.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A file that is wrong is refused with all its faults and their lines; one that is right is written back as it was. */
class ScenarioFileTest {
    private static final Path FOLDER = Path.of("src/test/resources/scenarios");
    private static final Path EXAMPLES = Path.of("examples/scenarios");

    static Stream<Arguments> broken() throws IOException {
        List<String> small = Files.readAllLines(FOLDER.resolve("small.scenario"));
        List<Arguments> cases = new ArrayList<>();
        for (String block : Files.readString(FOLDER.resolve("broken.txt")).split("(?m)^== ")) {
            List<String> lines = block.lines().toList();
            List<String> text = new ArrayList<>(small);
            int at = text.indexOf(marked(lines, "-").stream().findFirst().orElse(""));
            if (!block.startsWith("#")) {
                assertThat(at).as(lines.get(0)).isNotNegative();
                text.remove(at);
                text.addAll(at, marked(lines, "+"));
                cases.add(Arguments.of(lines.get(0), String.join("\n", text) + "\n", marked(lines, ">")));
            }
        }
        return cases.stream();
    }

    private static List<String> marked(List<String> lines, String mark) {
        return lines.stream()
                .filter(line -> line.startsWith(mark))
                .map(line -> line.substring(1).strip())
                .toList();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("broken")
    void aBrokenFileIsRefusedWithAllItsFaults(String name, String text, List<String> faults) {
        assertThat(faults(text.getBytes(StandardCharsets.UTF_8)))
                .containsExactlyElementsOf(
                        faults.stream().map(fault -> "x:" + fault).toList());
    }

    private static List<String> faults(byte[] bytes) {
        try {
            Scenarios.parse("x", bytes);
            return List.of();
        } catch (InvalidScenarioException e) {
            return e.faults();
        }
    }

    @Test
    void aFileThatIsNoTextOfBoundsIsRefused() throws IOException {
        String small = Files.readString(FOLDER.resolve("small.scenario"));
        byte[] latin = (small + "# caf\u00e9\n").getBytes(StandardCharsets.ISO_8859_1);

        assertThat(faults(new byte[0]))
                .singleElement()
                .asString()
                .startsWith("x:1: the file is empty; it needs at least [[day], [sites], [routers], [class NAME],");
        assertThat(faults("# nothing\n\n".getBytes(StandardCharsets.UTF_8)))
                .singleElement()
                .asString()
                .startsWith("x:1: the file is empty");
        assertThat(faults(latin))
                .containsExactly("x:43: the file is no UTF-8 from here on (byte 0xe9); save it as UTF-8");
        assertThat(faults((small + "# " + "x".repeat(4_000) + "\n").getBytes(StandardCharsets.UTF_8)))
                .containsExactly("x:43: the line has 4002 characters; 4,000 are the most");
        assertThat(faults((small + "\n".repeat(10_000)).getBytes(StandardCharsets.UTF_8)))
                .containsExactly("x:10001: the file has over 10,000 lines; what lies behind is not read");
        assertThat(faults(("[day]\n" + "odd 1\n".repeat(9_000)).getBytes(StandardCharsets.UTF_8)))
                .hasSize(201)
                .last()
                .asString()
                .endsWith("further faults");
        assertThatThrownBy(() -> Scenarios.read(FOLDER.resolve("absent")))
                .hasMessageEndingWith("absent:1: there is no such file");
        assertThatThrownBy(() -> Scenarios.read(FOLDER))
                .hasMessageMatching(".*scenarios:1: the file cannot be read .*");
    }

    static Stream<Path> good() throws IOException {
        try (Stream<Path> examples = Files.list(EXAMPLES)) {
            return Stream.concat(
                    examples.sorted().toList().stream(),
                    Stream.of(
                            FOLDER.resolve("small.scenario"),
                            Path.of("src/main/resources/slateseam/scenarios/usual.scenario")));
        }
    }

    @ParameterizedTest
    @MethodSource("good")
    void whatIsWrittenIsReadAsTheSame(Path file) throws InvalidScenarioException {
        Scenario read = Scenarios.read(file);

        assertThat(Scenarios.parse("written", read.toString())).isEqualTo(read);
    }

    @Test
    void whatAShrinkerChangesIsWrittenToo() throws InvalidScenarioException {
        BitSet some = new BitSet();
        for (int i = 0; i < 4_000; i += 3) {
            some.set(i);
        }
        Scenario changed = Scenarios.read(FOLDER.resolve("small.scenario"))
                .withSeed(77)
                .withDuration(9_000_000_000L)
                .withKept(new Kept(Map.of("user-1", some, "user-2", new BitSet())))
                .without(Set.of("big-1", "router-2"));
        Scenario read = Scenarios.parse("written", changed.toString());

        assertThat(read).isEqualTo(changed);
        assertThat(read.script()).extracting(Fault::targets).containsExactly(List.of("big-2"));
        assertThat(read.kept().keeps("user-1", 3)).isTrue();
        assertThat(read.kept().keeps("user-1", 4) || read.kept().keeps("user-2", 0))
                .isFalse();
        assertThat(Day.draw(read, 1, FaultChoice.NONE).seed()).isEqualTo(77);
    }

    /** The page that operators read must not fall behind the program. */
    @Test
    void theOperatorsPageHasEverySectionAndNameAndAnExampleThatIsValid() throws IOException, InvalidScenarioException {
        List<String> rows = Files.readAllLines(Path.of("docs/operators/scenario-file.md"));
        String example = String.join(
                "\n",
                rows.subList(0, rows.indexOf("## Form")).stream()
                        .filter(row -> row.startsWith("    "))
                        .toList());
        assertThat(Scenarios.parse("page", example).script()).hasSize(2);
        for (Schema.Type type : Schema.all()) {
            assertThat(rows).as(type.type()).anyMatch(row -> row.contains("`[" + type.type()));
            for (Name name : type.names()) {
                assertThat(rows).as(type.type()).contains(ScenarioPage.row(name));
            }
        }
        for (FaultKind kind : FaultKind.values()) {
            assertThat(rows).contains(ScenarioPage.row(kind));
        }
    }

    @Test
    void anUnknownFaultOnTheCommandLineIsToldWithTheNearest() {
        assertThatThrownBy(() -> FaultChoice.parse("crash,draining"))
                .hasMessage("there is no fault draining; did you mean drain?");
        assertThat(FaultChoice.parse(" crash , void").only())
                .containsExactlyElementsOf(Arrays.asList(FaultKind.CRASH, FaultKind.VOID));
    }
}
