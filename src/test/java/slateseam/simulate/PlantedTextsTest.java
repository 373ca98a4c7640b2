package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Each planted bug finds the one place of the sources that it changes; few of them are played in the build. */
class PlantedTextsTest {
    static Stream<PlantedBug> bugs() {
        return Stream.of(PlantedBug.all(), TierBugs.all(), AgreementBugs.all(), PolicyBugs.all())
                .flatMap(List::stream);
    }

    @ParameterizedTest
    @MethodSource("bugs")
    void standsOnceInItsSource(PlantedBug bug) {
        assertThat(Planted.changed(bug)).isNotEmpty();
    }
}
