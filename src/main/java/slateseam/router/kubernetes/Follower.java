package slateseam.router.kubernetes;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.config.KubernetesSettings.Api;
import slateseam.router.membership.Membership;
import slateseam.router.net.Clock;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.HttpHead;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.tls.RefusedException;

/**
 * Tells a membership what the API tells: a list where it must be, then one watch after another, each from where the
 * last one stood. What goes wrong costs a wait and at most a new list; what is known stays.
 */
final class Follower implements ApiCall.Listener {
    private static final long FILES_NANOS = 10_000 * Clock.MILLI;
    private static final long CONNECT_NANOS = 5_000 * Clock.MILLI;
    private static final long ANSWER_NANOS = 10_000 * Clock.MILLI;
    /** Beyond its time a watch that says nothing is late: the machine may be gone, which TCP does not notice. */
    private static final long SLACK_NANOS = 5_000 * Clock.MILLI;
    /** One that ends sooner, and said nothing, is trouble: else it would be begun anew again and again. */
    private static final long SHORTEST_WATCH_NANOS = 250 * Clock.MILLI;

    private static final int FAULT_BYTES = 4 * 1024;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int GONE = 410;
    private static final int TOO_MANY = 429;
    private static final int FIRST_SERVER_FAULT = 500;
    private static final int TIMED_OUT = 504;
    private static final String MESSAGE = "\"message\":\"";
    private static final String UNREACHABLE = "kubernetes-unreachable";
    private static final String MALFORMED = "kubernetes-malformed";

    private final Loop loop;
    private final Executor aside;
    private final Membership membership;
    /** Runs when the membership was told something. */
    private final Runnable told;

    private final BackOff backOff;
    private final Remarks remarks;
    private KubernetesSettings settings;
    private SliceReader reader;
    private Access access;
    private boolean begun;
    /** Counts the rounds of asking, so that what a former one sent aside is passed over. */
    private long asking;

    private Access.Ready ready;
    private ApiCall call;
    /** When the next try begins, or else when what is waited for is late. */
    private Deadline next;
    /** The list that is read; null while there is a watch, or nothing. */
    private Listing listing;

    private boolean listAnew;
    private JsonStream stream;
    /** The answer that is no list and no watch. */
    private HttpHead fault;

    private final StringBuilder faultText = new StringBuilder();
    private boolean watches;
    private long watchBegan;
    private boolean watchTold;
    private boolean readTokenAnew;
    private boolean troubled = true;
    private long bytes;

    Follower(
            Loop loop,
            Executor aside,
            KubernetesSettings settings,
            Membership membership,
            BackOff backOff,
            Remarks remarks,
            Runnable told) {
        this.loop = loop;
        this.aside = aside;
        this.settings = settings;
        this.membership = membership;
        this.backOff = backOff;
        this.remarks = remarks;
        this.told = told;
        this.reader = new SliceReader(settings.port());
        this.access = new Access(settings.api());
    }

    void begin() {
        if (!begun) {
            begun = true;
            ask();
        }
    }

    /** Goes on at another address, or with other files, at once. */
    void moveTo(Api api) {
        Api before = settings.api();
        if (api.equals(before)) {
            return;
        }
        settings = settings.at(api);
        access = new Access(api);
        if (!api.authority().equals(before.authority())) {
            membership.moved();
        }
        backOff.reset();
        if (begun) {
            startOver();
        }
    }

    /** Reads a whole list, though nothing else asks for it. */
    void listAnew() {
        listAnew = true;
        if (begun && watches) {
            startOver();
        }
    }

    long bytesRead() {
        return bytes;
    }

    private void startOver() {
        drop();
        ask();
    }

    private void drop() {
        if (call != null) {
            call.close();
            call = null;
        }
        listing = null;
        watches = false;
        fault = null;
        loop.cancel(next);
    }

    /** Sees to the files, which takes another thread, and then asks. */
    private void ask() {
        long number = ++asking;
        boolean anew = readTokenAnew;
        Access now = access;
        late(FILES_NANOS, "the files were not read in time");
        try {
            aside.execute(() -> {
                try {
                    Access.Ready come = now.ready(anew);
                    loop.handOver(() -> ready(number, come));
                } catch (RefusedException | RuntimeException e) {
                    loop.handOver(() -> filesFailed(number, e.getMessage()));
                }
            });
        } catch (RejectedExecutionException e) {
            trouble("kubernetes-files", "too much waits to be read", 0);
        }
    }

    private void filesFailed(long number, String why) {
        if (number == asking) {
            trouble("kubernetes-files", why, 0);
        }
    }

    private void ready(long number, Access.Ready come) {
        if (number != asking) {
            return;
        }
        ready = come;
        if (call != null && call.isReusable(come)) {
            up();
            return;
        }
        if (call != null) {
            call.close();
        }
        try {
            late(CONNECT_NANOS, "the connection did not come up in time");
            call = ApiCall.connect(loop, settings.api(), come, aside, this);
        } catch (IOException | RuntimeException e) {
            trouble(UNREACHABLE, e.toString(), 0);
        }
    }

    @Override
    public void up() {
        boolean lists = listAnew || membership.version() == null || listing != null;
        late(ANSWER_NANOS, "no answer in time");
        if (lists) {
            if (listing == null) {
                listing = new Listing(reader, remarks::say);
            }
            call.ask(Targets.page(settings, listing.next()), ready.token());
        } else {
            call.ask(Targets.watch(settings, membership.version()), ready.token());
        }
    }

    @Override
    public void answered(HttpHead head) {
        readTokenAnew &= head.status() == UNAUTHORIZED;
        if (head.status() != OK) {
            fault = head;
            faultText.setLength(0);
        } else if (listing != null) {
            stream = listing.page();
        } else {
            watches = true;
            watchTold = false;
            watchBegan = loop.now();
            stream = new JsonStream(
                    false,
                    new Events(
                            loop,
                            reader,
                            membership,
                            remarks,
                            this::eventTold,
                            status -> status(status.optInt("code"), status.optString("message"), 0)));
            lateWatch();
            follows();
            told.run();
        }
    }

    @Override
    public void body(ByteBuffer part) throws MalformedException {
        bytes += part.remaining();
        if (fault != null) {
            faultText.append(StandardCharsets.UTF_8.decode(part));
            if (faultText.length() > FAULT_BYTES) {
                refused();
            }
            return;
        }
        if (watches) {
            lateWatch();
        } else {
            late(ANSWER_NANOS, "the list stopped");
        }
        stream.take(part);
    }

    private void lateWatch() {
        late(settings.watchSeconds() * 1_000 * Clock.MILLI + SLACK_NANOS, "the watch fell silent");
    }

    @Override
    public void over() throws MalformedException {
        if (fault != null) {
            refused();
        } else if (listing != null) {
            if (!listing.pageIsOver()) {
                listed();
            }
            ask();
        } else {
            watchIsOver();
        }
    }

    private void listed() {
        Listing done = listing;
        listing = null;
        listAnew = false;
        if (done.isWhole()) {
            membership.listed(done.slices(), done.version(), loop.now());
        } else {
            // Guards what is known of the slices that were left out: nothing leaves by a list that is not whole.
            done.slices().forEach(slice -> membership.changed(slice, loop.now()));
            membership.reached(done.version());
        }
        told.run();
    }

    private void watchIsOver() throws MalformedException {
        watches = false;
        if (!stream.endsWell()) {
            throw new MalformedException("a watch ended within an event");
        }
        if (watchTold || hasLasted()) {
            backOff.reset();
            ask();
        } else {
            trouble(UNREACHABLE, "a watch ended at once", 0);
        }
    }

    private boolean hasLasted() {
        return loop.now() - watchBegan >= SHORTEST_WATCH_NANOS;
    }

    private void follows() {
        if (troubled) {
            troubled = false;
            remarks.over();
            loop.log().line("kubernetes-follows", settings.api() + " from version " + membership.version());
        }
    }

    private void eventTold() {
        watchTold = true;
        backOff.reset();
        told.run();
    }

    private void refused() {
        HttpHead head = fault;
        fault = null;
        String text = faultText.toString();
        int message = text.indexOf(MESSAGE);
        int begin = message < 0 ? 0 : message + MESSAGE.length();
        int end = message < 0 ? -1 : text.indexOf('"', begin);
        status(head.status(), text.substring(begin, end < 0 ? text.length() : end), retryAfter(head));
    }

    private static long retryAfter(HttpHead head) {
        String seconds = head.headers().getOrDefault("retry-after", "");
        return seconds.matches("[0-9]{1,6}") ? Long.parseLong(seconds) * 1_000 * Clock.MILLI : 0;
    }

    /** The API did not do what was asked, by an answer or an event. */
    private void status(int code, String text, long askedNanos) {
        String why = code + " " + text;
        if (code == GONE) {
            // At once where it is the first time; a list that is always too old is not read again and again.
            listAnew = true;
            boolean first = backOff.failures() == 0;
            backOff.failed();
            remarks.say(
                    "kubernetes-gone",
                    "what changed since version " + membership.version()
                            + " is not told any more, so the whole list is read: " + why);
            if (first) {
                startOver();
            } else {
                retry(askedNanos);
            }
        } else if (code == UNAUTHORIZED) {
            boolean first = !readTokenAnew;
            readTokenAnew = true;
            remarks.say("kubernetes-unauthorized", "the token was not accepted, and is read anew: " + why);
            if (first) {
                startOver();
            } else {
                trouble(null, null, askedNanos);
            }
        } else {
            // A watch from a version that this API has not come to yet, as its store was restored, will never be
            // answered.
            listAnew |= (code == BAD_REQUEST || code == TIMED_OUT) && backOff.failures() > 0;
            trouble(
                    code == FORBIDDEN
                            ? "kubernetes-forbidden"
                            : code == TOO_MANY
                                    ? "kubernetes-busy"
                                    : code >= FIRST_SERVER_FAULT ? "kubernetes-failed" : "kubernetes-refused",
                    why,
                    askedNanos);
        }
    }

    @Override
    public void malformed(String why) {
        // Guards against an event that cannot be read and would come again and again: a list leads past it.
        listAnew |= watches && !hasLasted() && backOff.failures() > 0;
        trouble(MALFORMED, why, 0);
    }

    @Override
    public void broken(String why) {
        trouble(call != null && call.isRefused() ? "kubernetes-tls" : UNREACHABLE, why, 0);
    }

    private void trouble(String kind, String why, long askedNanos) {
        if (watches && hasLasted()) {
            backOff.reset();
        }
        if (kind != null) {
            remarks.say(kind, settings.api() + ": " + why);
        }
        backOff.failed();
        retry(askedNanos);
    }

    private void retry(long askedNanos) {
        troubled = true;
        drop();
        asking++;
        next = loop.after(backOff.nanos(askedNanos), this::ask);
    }

    private void late(long nanos, String why) {
        loop.cancel(next);
        next = loop.after(nanos, () -> trouble(UNREACHABLE, why, 0));
    }
}
