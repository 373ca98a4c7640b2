package slateseam.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Started;
import slateseam.decision.Brain;
import slateseam.router.config.SettingsParser;
import slateseam.router.config.SettingsParser.InvalidSettingException;
import slateseam.wire.Frames.MalformedFrameException;

/** Hosts many instances of the module on one wire; it translates and routes, and decides nothing. */
public final class WireHost implements Frames.BatchHandler {
    private final Map<Integer, Brain> instances = new HashMap<>();
    private final Frames.Writer reply = new Frames.Writer();
    private long now;

    /** Creates a host without instances. */
    public WireHost() {}

    /**
     * Serves batches until the input ends on a frame boundary.
     *
     * @throws MalformedFrameException if a frame breaks the format
     * @throws IOException if a stream fails
     */
    public void serve(InputStream in, OutputStream out) throws IOException, MalformedFrameException {
        Frames.Reader reader = new Frames.Reader(in);
        while (reader.next()) {
            now = reader.clock();
            reader.decode(this);
            out.write(reply.finish());
            out.flush();
        }
    }

    @Override
    public void launch(int instance, long seed, String text) {
        instances.put(instance, null);
        try {
            Settings settings = SettingsParser.parse(text);
            instances.put(instance, new Brain(settings, seed));
            event(instance, new Started());
        } catch (InvalidSettingException e) {
            reply.crash(instance, e.getMessage());
        }
    }

    @Override
    public void retire(int instance) {
        instances.put(instance, null);
    }

    @Override
    public boolean isLaunched(int instance) {
        return instances.containsKey(instance);
    }

    @Override
    public void event(int instance, Event event) {
        Brain brain = instances.get(instance);
        if (brain == null) {
            return;
        }
        try {
            brain.handle(now, event, action -> reply.action(instance, action));
        } catch (RuntimeException e) {
            instances.put(instance, null);
            reply.crash(instance, e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
        }
    }
}
