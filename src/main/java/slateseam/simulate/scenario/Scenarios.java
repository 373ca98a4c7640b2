package slateseam.simulate.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** Reads scenarios. A file holds at most 10,000 lines of at most 4,000 characters. */
public final class Scenarios {
    private static final int MOST_BYTES = 16 * 1024 * 1024;
    /** The scenario that is played where no file is named. */
    public static final String USUAL = "usual.scenario";

    private Scenarios() {}

    /**
     * Reads a file.
     *
     * @throws InvalidScenarioException telling all that is wrong with it
     */
    public static Scenario read(Path file) throws InvalidScenarioException {
        try (InputStream in = Files.newInputStream(file)) {
            return parse(file.toString(), in.readNBytes(MOST_BYTES + 1));
        } catch (NoSuchFileException e) {
            throw new InvalidScenarioException(List.of(file + ":1: there is no such file"));
        } catch (IOException e) {
            throw new InvalidScenarioException(List.of(
                    file + ":1: the file cannot be read (" + e.getClass().getSimpleName() + ")"));
        }
    }

    /** The scenario that is played where no file is named. */
    public static Scenario usual() {
        try (InputStream in = Scenarios.class.getResourceAsStream("/slateseam/scenarios/" + USUAL)) {
            return parse(USUAL, in.readAllBytes());
        } catch (IOException | InvalidScenarioException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Reads the bytes of a file.
     *
     * @param file its name, for messages
     * @throws InvalidScenarioException telling all that is wrong with it
     */
    public static Scenario parse(String file, byte[] bytes) throws InvalidScenarioException {
        Complaints complaints = new Complaints(file);
        if (bytes.length > MOST_BYTES) {
            complaints.add(1, "the file holds over " + MOST_BYTES + " bytes; 10,000 lines of 4,000 are the most");
        }
        complaints.throwIfAny();
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        CharBuffer text = CharBuffer.allocate(bytes.length + 1);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (decoder.decode(in, text, true).isError()) {
            int line = 1;
            for (int i = 0; i < in.position(); i++) {
                line += bytes[i] == '\n' ? 1 : 0;
            }
            complaints.add(
                    line,
                    "the file is no UTF-8 from here on (byte 0x" + Integer.toHexString(bytes[in.position()] & 0xff)
                            + "); save it as UTF-8");
        }
        complaints.throwIfAny();
        return new ScenarioReader(complaints).read(text.flip().toString());
    }

    /** Reads a text, as if it were a file. */
    public static Scenario parse(String file, String text) throws InvalidScenarioException {
        return parse(file, text.getBytes(StandardCharsets.UTF_8));
    }
}
