package slateseam.simulate;

import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;
import slateseam.simulate.scenario.RequestSelection;
import slateseam.standin.useragent.Answer;
import slateseam.standin.useragent.Outcomes;
import slateseam.standin.useragent.Request;

/** Notes which requests were asked, and hands all on to the count of the service. */
final class Arrived implements Outcomes {
    private final Outcomes service;
    private final Map<String, BitSet> asked = new TreeMap<>();

    Arrived(Outcomes service) {
        this.service = service;
    }

    RequestSelection kept() {
        return new RequestSelection(asked);
    }

    @Override
    public void asked(Request request) {
        asked.computeIfAbsent(request.userAgent(), name -> new BitSet()).set(request.number());
        service.asked(request);
    }

    @Override
    public void tried(Request request, String id, String router, long at, boolean again) {
        service.tried(request, id, router, at, again);
    }

    @Override
    public void answered(Request request, String id, Answer answer, long at) {
        service.answered(request, id, answer, at);
    }

    @Override
    public void ended(Request request, Ending ending, long at) {
        service.ended(request, ending, at);
    }

    @Override
    public void unasked(String userAgent, String router, long at) {
        service.unasked(userAgent, router, at);
    }
}
