package slateseam.router.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.router.membership.Told.MS;
import static slateseam.router.membership.Told.row;
import static slateseam.router.membership.Told.slice;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is remembered over a restart. */
class RestoreTest {
    private static Told restarted(Told old, long downMillis) {
        Told told = new Told();
        told.now = old.now + downMillis * MS;
        told.membership.restore(old.membership.remembered(), told.now);
        return told;
    }

    @Test
    void aRestartGoesOnFromWhereItStood() {
        Told old = new Told().listed(10, slice("a", 5, row(0, 10)), slice("b", 6, "10 11"));
        old.after(60_000)
                .changed("a", 11, row(0, 9) + " 12 13-")
                .changed("c", 12, "0x")
                .after(1_000)
                .deleted("b", 13);
        old.after(100);
        Told told = restarted(old, 30_000);
        assertThat(told.servers()).isEqualTo(old.servers());
        assertThat(told.membership.version()).isEqualTo("13");
        assertThat(told.after(200).pods())
                .as("of the slice deleted just before")
                .isEqualTo("0x 1 2 3 4 5 6 7 8 12 13x");
        told.changed("b", 12, "10 11");
        assertThat(told.pods()).as("still deleted").isEqualTo("0x 1 2 3 4 5 6 7 8 12 13x");
        told.changed("a", 14, row(0, 9) + " 12 13 14");
        assertThat(told.server(13).bornAtNanos()).as("first ready now").isEqualTo(told.now);
        assertThat(told.server(14).bornAtNanos()).as("came while this was down").isEqualTo(told.now);
        assertThat(told.server(12).bornAtNanos()).isLessThan(told.now).isPositive();
        assertThat(told.server(0).ready())
                .as("drained by a slice newer than this one's view")
                .isTrue();
    }

    @Test
    void aDrainDuringTheRestartHoldsWhenItIsTold() {
        Told old = new Told().listed(10, slice("a", 5, "1 2 3 4"));
        Told watched = restarted(old, 5_000).changed("a", 11, "1x 2 3 4");
        assertThat(watched.pods()).isEqualTo("1x 2 3 4");
        Told listed = restarted(old, 5_000).listed(20, slice("b", 15, "1x 2 3 4"));
        assertThat(listed.pods()).isEqualTo("1x 2 3 4");
        Told gone = restarted(old, 5_000).listed(20, slice("a", 15, "2 3 4"));
        assertThat(gone.after(200).pods()).isEqualTo("2 3 4");
    }

    @Test
    void aSliceMadeAnewDuringTheRestartReplacesTheOldOne() {
        Told told = restarted(new Told().listed(10, slice("a", 5, "1 2 3"), slice("b", 6, "4 5 6")), 5_000);
        Slice anew = new Slice("a", "another", 15, false, 6379, Told.endpoints("1 2 7"), Map.of(), Map.of());
        told.listed(20, anew, slice("b", 6, "4 5 6"));
        told.deleted("a", 14).changed("a", 13, "1 2 3");
        assertThat(told.after(200).pods()).isEqualTo("1 2 4 5 6 7");
    }

    @Test
    void whatTheGuardKeepsIsKeptOverARestart() {
        Told old = new Told()
                .listed(10, slice("a", 5, row(0, 10)))
                .after(60_000)
                .listed(20)
                .after(3_000);
        Told told = restarted(old, 60_000);
        assertThat(told.after(9_999).servers()).isEqualTo(old.servers());
        assertThat(told.after(1).servers()).isEmpty();
    }

    @Test
    void whatIsRememberedIsAsMuchAsNeeded() {
        Told told = new Told().listed(10, slice("a", 5, row(0, 10)));
        Remembered remembered = told.membership.remembered();
        assertThat(remembered.servers()).isEmpty();
        assertThat(remembered.slices())
                .singleElement()
                .extracting(Slice::labels)
                .isEqualTo(Map.of());
        Told empty = new Told();
        empty.membership.restore(new Remembered(null, -1, List.of(), List.of(), List.of()), empty.now);
        assertThat(empty.listed(1, slice("a", 1, "1")).server(1).bornAtNanos())
                .as("a first list after all")
                .isZero();
    }
}
