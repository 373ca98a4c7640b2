package slateseam.router.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.router.membership.Told.MS;
import static slateseam.router.membership.Told.endpoints;
import static slateseam.router.membership.Told.row;
import static slateseam.router.membership.Told.slice;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What happens when many servers are suddenly listed no more. */
class GuardTest {
    private static Told of(int servers) {
        return new Told().listed(10, slice("a", 5, row(0, servers)));
    }

    @Test
    void allThatVanishAndReturnAreNeverMissed() {
        Told told = of(100);
        List<Server> before = told.servers();
        told.after(60_000).listed(20);
        assertThat(told.after(3_000).servers()).isEqualTo(before);
        assertThat(told.membership.notes())
                .singleElement()
                .extracting(Note::text)
                .asString()
                .startsWith("100 of 100 ready application servers are listed no more; they count for another 10000 ms");
        for (int i = 0; i < 10; i++) { // slice by slice: the rest stays while they return
            told.changed("b" + i, 30 + i, row(10 * i, 10 * i + 10)).after(200);
            assertThat(told.servers()).isEqualTo(before);
        }
        assertThat(told.after(20_000).servers()).isEqualTo(before);
    }

    @Test
    void aLossThatLastsIsTakenOver() {
        Told told = of(100).after(60_000);
        told.changed("a", 11, row(0, 50));
        long due = told.now + 10_000 * MS;
        told.after(9_999);
        assertThat(told.servers()).hasSize(100);
        assertThat(told.membership.nextChange()).isEqualTo(due);
        assertThat(told.after(1).pods()).isEqualTo(row(0, 50));
        assertThat(told.membership.notes())
                .extracting(Note::text)
                .last()
                .asString()
                .startsWith("50 servers are still not");
    }

    @Test
    void aLossUnderTheShareIsNoMistake() {
        Told told = of(100).changed("a", 11, row(0, 60));
        assertThat(told.after(200).pods()).isEqualTo(row(0, 60));
        told.after(9_000).changed("a", 12, row(0, 59));
        assertThat(told.after(9_000).servers())
                .as("little by little counts together")
                .hasSize(60);
        Told two = of(2).changed("a", 11, "0");
        assertThat(two.after(200).pods()).as("one of several may always leave").isEqualTo("0");
        assertThat(two.changed("a", 12, "").after(200).pods())
                .as("the last may not")
                .isEqualTo("0");
    }

    @Test
    void aDrainIsNeverHeldUp() {
        Told told = of(10).after(60_000);
        told.changed("a", 11, row(0, 10).replaceAll("(\\d)", "$1x"));
        assertThat(told.ready()).as("all at once").isZero();
        assertThat(told.membership.notes()).extracting(Note::kind).containsExactly("farm-none-ready");
        told.changed("a", 12, "");
        assertThat(told.after(200).pods()).as("what drained first is no loss").isEmpty();

        Told held = of(10).after(60_000).listed(20);
        assertThat(held.after(1_000).ready()).isEqualTo(10);
        held.changed("b", 21, "0x 1-");
        assertThat(held.ready())
                .as("two of those that are kept are told to drain")
                .isEqualTo(8);
        held.membership.changed(new Slice("c", "of-c", 22, false, null, endpoints("2x"), Map.of(), Map.of()), held.now);
        assertThat(held.ready()).as("even by a slice that is of no use else").isEqualTo(7);
        assertThat(held.after(200).servers()).as("which then leaves").hasSize(9);
    }

    @Test
    void theLastStateOfADeletedSliceTellsOfDrains() {
        Told told = of(3);
        told.membership.deleted(slice("a", 11, "0x 1 2"), told.now);
        assertThat(told.pods()).isEqualTo("0x 1 2");
    }

    @Test
    void serversThatWereReplacedWhileTheApiWasDownAreNoLoss() {
        Told told = of(100).after(600_000);
        told.listed(500, slice("z", 400, row(100, 200)));
        assertThat(told.after(200).pods()).isEqualTo(row(100, 200));
    }

    @Test
    void newServersThatDrainAgainMakeUpForNoLoss() {
        Told told = of(10).after(60_000).changed("b", 11, row(10, 20)).after(1_000);
        told.changed("b", 12, row(10, 20).replaceAll("(\\d+)", "$1x")).changed("a", 13, "0 1");
        assertThat(told.after(5_000).ready()).isEqualTo(10);
    }
}
