package slateseam.simulate;

import slateseam.standin.useragent.Answer;
import slateseam.standin.useragent.Outcomes;
import slateseam.standin.useragent.Request;

/** Tells two of what user agents did and got, in their order. */
public record Both(Outcomes first, Outcomes second) implements Outcomes {
    @Override
    public void asked(Request request) {
        first.asked(request);
        second.asked(request);
    }

    @Override
    public void tried(Request request, String id, String router, long at, boolean again) {
        first.tried(request, id, router, at, again);
        second.tried(request, id, router, at, again);
    }

    @Override
    public void answered(Request request, String id, Answer answer, long at) {
        first.answered(request, id, answer, at);
        second.answered(request, id, answer, at);
    }

    @Override
    public void ended(Request request, Ending ending, long at) {
        first.ended(request, ending, at);
        second.ended(request, ending, at);
    }

    @Override
    public void unasked(String userAgent, String router, long at) {
        first.unasked(userAgent, router, at);
        second.unasked(userAgent, router, at);
    }
}
