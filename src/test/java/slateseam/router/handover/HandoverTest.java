package slateseam.router.handover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateseam.router.handover.Succession.Role;

/** Two routers of one virtual machine stand for two processes: their locks exclude each other just so. */
class HandoverTest {
    @TempDir
    Path folder;

    @Test
    void whoComesSecondTakesOverWhenItIsHandedToItOrTheOtherIsGone() throws Exception {
        Handover first = new Handover(folder);
        assertThat(first.isHeir()).isFalse();
        assertThat(first.heirIsThere()).isFalse();
        Handover second = new Handover(folder);
        assertThat(second.isHeir()).isTrue();
        assertThat(first.heirIsThere()).isTrue();
        assertThat(second.isAlone()).isFalse();
        assertThat(second.isHanded()).isFalse();
        first.hand();
        assertThat(second.isHanded()).isTrue();
        assertThat(second.isAlone()).isFalse();
        first.close();
        assertThat(second.isAlone()).isTrue();
        assertThat(second.heirIsThere()).isFalse();
        // What was handed to the second is nothing to the third.
        Handover third = new Handover(folder);
        assertThat(third.isHeir()).isTrue();
        assertThat(third.isHanded()).isFalse();
        second.close();
        assertThat(third.isAlone()).isTrue();
        third.close();
    }

    @Test
    void anHeirThatWasKilledLeavesNothingBehind() throws Exception {
        Handover first = new Handover(folder);
        new Handover(folder).close(); // as the end of its process does
        assertThat(first.heirIsThere()).isFalse();
        first.hand();
        Handover next = new Handover(folder);
        assertThat(next.isHeir()).isTrue();
        assertThat(next.isHanded()).isFalse();
        assertThat(first.heirIsThere()).isTrue();
        next.close();
        first.close();
    }

    @Test
    void theFarmIsKeptWholeOrNotAtAll() throws Exception {
        Handover first = new Handover(folder);
        Handover second = new Handover(folder);
        assertThat(second.farm()).isNull();
        first.keepFarm("{\"seq\":7}");
        assertThat(second.farm()).isEqualTo("{\"seq\":7}");
        Path file = folder.resolve("slateseam.farm");
        byte[] whole = Files.readAllBytes(file);
        for (int length = 0; length < whole.length; length++) {
            Files.write(file, Arrays.copyOf(whole, length));
            assertThat(second.farm()).as("torn after " + length).isNull();
        }
        for (int at = 0; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 1;
            Files.write(file, damaged);
            assertThat(second.farm()).as("damaged at " + at).isNull();
        }
        first.keepFarm("{\"seq\":8}");
        assertThatThrownBy(() -> first.keepFarm(" ".repeat(8 * 1024 * 1024 + 1)))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("8388609");
        assertThat(file)
                .as("neither what nobody reads, nor what is no longer so")
                .doesNotExist();
        Files.write(file, new byte[9 * 1024 * 1024]);
        assertThat(second.farm()).as("another's").isNull();
        first.close();
        second.close();
    }

    @Test
    void onlyOneHasTheSupply() {
        Succession old = new Succession(false);
        Succession heir = new Succession(true);
        assertThat(old.hasSupply()).isTrue();
        assertThat(heir.hasSupply()).isFalse();
        old.heir(true);
        assertThat(old.isShared()).isTrue();
        assertThat(old.ends()).isTrue();
        assertThat(old.hasSupply()).isFalse();
        assertThat(heir.handed()).isTrue();
        assertThat(heir.handed()).isFalse();
        assertThat(heir.hasSupply()).isTrue();
        assertThat(heir.isShared()).isTrue();
        assertThat(heir.alone()).as("it has taken over before").isFalse();
        assertThat(heir.role()).isEqualTo(Role.SOLE);
        assertThat(heir.ends()).as("nobody takes over: a planned end").isFalse();
    }

    @Test
    void theOneThatIsLeftGoesOnWhicheverDies() {
        Succession old = new Succession(false);
        old.heir(true);
        old.heir(false);
        assertThat(old.role()).isEqualTo(Role.SOLE);
        assertThat(old.ends()).isFalse();
        Succession heir = new Succession(true);
        assertThat(heir.alone()).isTrue();
        assertThat(heir.hasSupply()).isTrue();
        assertThat(heir.isShared()).isFalse();
    }
}
