package slateseam.standin.useragent;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/** All user agents of a day: those that behave from its beginning, rude ones when they are called. */
public final class Crowd {
    private final Surroundings at;
    private final Entry entry;
    private final Function<String, UniformRandomProvider> streams;
    private final List<UserAgent> userAgents = new ArrayList<>();
    private int calls;

    /**
     * Creates them.
     *
     * @param entry deals connections out for the processes that have no router beside them
     * @param streams gives each actor its source of random numbers, by its name
     */
    public Crowd(
            Surroundings at,
            List<UserAgentFigures> figures,
            Entry entry,
            Function<String, UniformRandomProvider> streams) {
        this.at = at;
        this.entry = entry;
        this.streams = streams;
        for (UserAgentFigures one : figures) {
            userAgents.add(new UserAgent(one, at, entry, streams.apply(one.name())));
        }
    }

    /** Those that behave begin to ask. */
    public void start() {
        userAgents.forEach(UserAgent::start);
    }

    /**
     * Lets rude ones come now, beside those that behave, in turn.
     *
     * @param until Unix time in nanoseconds, when they begin nothing more
     */
    public void rude(RudeKind kind, int number, long until) {
        calls++;
        for (int i = 0; i < number && !userAgents.isEmpty(); i++) {
            UserAgent beside = userAgents.get(i % userAgents.size());
            String actor = "rude " + kind.word() + " " + calls + " " + i;
            new Rude(kind, at, beside.figures(), entry, () -> openId(beside), streams.apply(actor), until).begin();
        }
    }

    /** The id of a request that is out at the router beside one process; null if there is none, or no such router. */
    private String openId(UserAgent beside) {
        String router = beside.figures().router();
        return userAgents.stream()
                .filter(one -> router != null && router.equals(one.figures().router()))
                .map(UserAgent::openId)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }
}
