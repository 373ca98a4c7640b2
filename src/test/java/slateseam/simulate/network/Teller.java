package slateseam.simulate.network;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/** A party that notes what happens on its connection. */
class Teller implements Party {
    final StringBuilder got = new StringBuilder();
    final List<String> happened = new ArrayList<>();
    int pieces;
    Wire wire;

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void opened(Wire on) {
        wire = on;
        happened.add("opened");
    }

    @Override
    public void received(Wire on, byte[] bytes) {
        pieces++;
        got.append(new String(bytes, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void ended(Wire on) {
        happened.add("ended");
    }

    @Override
    public void broken(Wire on) {
        happened.add("broken");
    }
}
