package slateseam.simulate;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.Send;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Started;
import slateseam.decision.Brain;
import slateseam.router.config.NodeConfig;
import slateseam.router.farm.Farm;
import slateseam.router.net.Hash;
import slateseam.router.net.MalformedException;

/**
 * Tells at which server the routers look for a key on a calm day, by asking a decision module of its own, so that
 * servers which have run for long hold at the beginning of a day what they would have been asked for.
 */
final class Homes {
    private final Brain brain;
    private final Farm farm;
    private final Settings settings;
    private final long now;
    private final List<Action> actions = new ArrayList<>();
    private long numbers;

    Homes(NodeConfig config, long now) {
        this.settings = config.settings();
        this.now = now;
        this.brain = new Brain(settings, 1);
        this.farm = new Farm(config.zones(), config.kinds(), settings.originKind());
        try {
            brain.handle(now, new Started(), actions::add);
            brain.handle(now, farm.take(config.known(), true), actions::add);
        } catch (MalformedException e) {
            throw new IllegalStateException("the simulation wrote a list that cannot be read", e);
        }
    }

    /** Hands each key on with the host that it is asked of; those that are not asked of any are left out. */
    void find(List<String> keys, BiConsumer<String, String> found) {
        long wait = settings.classes().get(0).deadlineNanos();
        for (String key : keys) {
            long hash = Hash.of(key.getBytes(StandardCharsets.ISO_8859_1));
            long number = ++numbers;
            actions.clear();
            brain.handle(now, new RequestArrived(number, hash, 0, 0, false, false, 0, wait), actions::add);
            for (Action action : actions) {
                if (action instanceof Send send) {
                    Farm.Entry entry = farm.entry(send.member());
                    if (!entry.isOrigin()) {
                        found.accept(key, entry.host());
                    }
                    brain.handle(
                            now,
                            new AttemptEnded(number, send.member(), 0, Outcome.OK, false, true, 1_000_000L),
                            ended -> {});
                    break;
                }
            }
        }
    }
}
