package slateseam.trial.disk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** A power cut is a new folder on the same disk. */
class LyingFolderTest {
    private static final byte[] OLD = {1, 1, 1, 1, 1, 1, 1, 1};
    private static final byte[] NEW = {2, 2, 2, 2, 2, 2, 2, 2};

    private final Map<String, byte[]> left = new TreeMap<>();

    private LyingFolder folder(long seed) throws IOException {
        return new LyingFolder(
                new DurableFiles() {
                    @Override
                    public Map<String, byte[]> all() {
                        return new TreeMap<>(left);
                    }

                    @Override
                    public void put(String name, byte[] bytes) {
                        left.put(name, bytes.clone());
                    }

                    @Override
                    public void remove(String name) {
                        left.remove(name);
                    }
                },
                new SplittableRandom(seed));
    }

    /** As a program replaces a file that is to last. */
    private static void replace(LyingFolder folder, byte[] bytes) throws IOException {
        LyingFolder.Node node = folder.open("a.new", true, true, true);
        folder.write("a.new", node, 0, bytes);
        folder.force(node);
        folder.rename("a.new", "a");
        folder.forceNames();
    }

    private static byte[] seen(LyingFolder folder) throws IOException {
        return folder.bytes(folder.open("a", false, false, false));
    }

    private byte[] replacedWhile(Lie lie, long seed) throws IOException {
        left.clear();
        LyingFolder folder = folder(seed);
        replace(folder, OLD);
        folder.lie(EnumSet.of(lie));
        replace(folder, NEW);
        assertThat(seen(folder)).as("the program itself is told nothing").isEqualTo(NEW);
        return left.get("a");
    }

    @Test
    void anHonestDiskLosesWhatWasNotForcedAndNothingElse() throws IOException {
        LyingFolder folder = folder(1);
        replace(folder, OLD);
        assertThat(left).containsOnlyKeys("a").containsEntry("a", OLD);
        LyingFolder.Node node = folder.open("a.new", true, true, true);
        folder.write("a.new", node, 0, NEW);
        folder.rename("a.new", "a");
        assertThat(left).as("nothing was forced").containsOnlyKeys("a").containsEntry("a", OLD);
        folder.force(node);
        assertThat(left.get("a")).as("the name was not").isEqualTo(OLD);
        folder.forceNames();
        assertThat(left).containsOnlyKeys("a").containsEntry("a", NEW);
        folder.remove("a");
        assertThat(left).containsKey("a");
        folder.forceNames();
        assertThat(left).isEmpty();
    }

    /** Guards against a program that renames what it did not force: the name is there and nothing in it. */
    @Test
    void aNameThatLastsBeforeItsBytesNamesNothing() throws IOException {
        LyingFolder folder = folder(1);
        folder.write("a", folder.open("a", true, true, true), 0, NEW);
        folder.forceNames();
        assertThat(left.get("a")).isEmpty();
    }

    @Test
    void eachLieIsWhatItsNameSays() throws IOException {
        for (long seed = 1; seed <= 50; seed++) {
            byte[] torn = replacedWhile(Lie.TORN, seed);
            assertThat(torn).hasSize(NEW.length).endsWith(0);
            byte[] cut = replacedWhile(Lie.SHORT, seed);
            assertThat(cut).hasSizeLessThan(NEW.length).isEqualTo(Arrays.copyOf(NEW, cut.length));
            byte[] flipped = replacedWhile(Lie.FLIP, seed);
            int bits = 0;
            for (int i = 0; i < NEW.length; i++) {
                bits += Integer.bitCount((flipped[i] ^ NEW[i]) & 0xff);
            }
            assertThat(bits).isEqualTo(1);
        }
        assertThat(replacedWhile(Lie.LOST, 1)).isEqualTo(OLD);
        assertThat(replacedWhile(Lie.FORGETS, 1)).isEqualTo(OLD);
        assertThat(replacedWhile(Lie.SLOW, 1)).isEqualTo(NEW);
    }

    @Test
    void whatIsLateComesWhenTheFaultIsOver() throws IOException {
        LyingFolder folder = folder(1);
        replace(folder, OLD);
        folder.lie(EnumSet.of(Lie.LATE));
        replace(folder, NEW);
        assertThat(left.get("a")).isEqualTo(OLD);
        folder.lie(EnumSet.noneOf(Lie.class));
        assertThat(left).containsOnlyKeys("a").containsEntry("a", NEW);
    }

    @Test
    void whatIsOldIsBackWholeAndTheNextReplacementIsGood() throws IOException {
        LyingFolder folder = folder(1);
        replace(folder, OLD);
        replace(folder, NEW);
        folder.lie(EnumSet.of(Lie.OLD));
        assertThat(left.get("a")).isEqualTo(OLD);
        byte[] third = {3};
        replace(folder, third);
        assertThat(left.get("a")).isEqualTo(third);
    }

    @Test
    void aDiskThatRefusesSaysWhyAndKeepsWhatItHas() throws IOException {
        LyingFolder folder = folder(1);
        replace(folder, OLD);
        folder.lie(EnumSet.of(Lie.FULL));
        assertThatThrownBy(() -> replace(folder, NEW))
                .isInstanceOf(FileSystemException.class)
                .hasMessageContaining("No space left");
        folder.lie(EnumSet.of(Lie.READ_ONLY));
        assertThatThrownBy(() -> replace(folder, NEW))
                .isInstanceOf(FileSystemException.class)
                .hasMessageContaining("Read-only");
        assertThat(seen(folder)).isEqualTo(OLD);
        folder.lie(EnumSet.of(Lie.GONE));
        assertThatThrownBy(() -> seen(folder)).isInstanceOf(NoSuchFileException.class);
        assertThatThrownBy(folder::forceNames).isInstanceOf(NoSuchFileException.class);
        assertThat(folder.has("a")).isFalse();
        folder.lie(EnumSet.noneOf(Lie.class));
        assertThat(seen(folder)).isEqualTo(OLD);
        assertThat(left.get("a")).isEqualTo(OLD);
    }
}
