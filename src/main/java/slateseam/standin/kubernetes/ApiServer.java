package slateseam.standin.kubernetes;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import slateseam.standin.Link;
import slateseam.standin.Station;
import slateseam.standin.Wire;
import slateseam.standin.World;

/**
 * The API server of a {@link Cluster}, as far as EndpointSlices go: lists in pages, watches, tokens, compaction, and
 * trouble as asked. Where a kind of trouble says nothing else it concerns the connections and watches that are open.
 */
public final class ApiServer extends Station {
    private final ApiFigures figures;
    private final Cluster cluster;
    private final SliceStore store;
    private final Feed feed;
    private final Lister lister;
    private final Set<String> tokens = new LinkedHashSet<>();
    /** What came while it is silent. */
    private final List<ApiCall> waiting = new ArrayList<>();

    private int chunkBytes;
    private boolean forbids;
    private boolean goneAsAnswer;
    private boolean silent;
    private long delayNanos;
    private Status trouble;
    private int troubled;
    private Cut armed;
    private boolean armedResets;
    private long listCut = Long.MAX_VALUE;
    private boolean listCutResets;
    private long lists;
    private long watches;

    /** Makes a server that takes connections at an address from now on. */
    public ApiServer(String address, ApiFigures figures, World world, Cluster cluster) {
        super(world.clock(), world.net(), null, address, figures.mostConnections(), 0, true, Long.MAX_VALUE);
        this.figures = figures;
        this.cluster = cluster;
        this.store = cluster.store();
        this.feed = new Feed(clock, store);
        this.lister = new Lister(cluster);
        this.chunkBytes = figures.chunkBytes();
        this.goneAsAnswer = figures.goneAsAnswer();
        openUp();
    }

    @Override
    protected Link link(Wire wire) {
        return new ApiLink(this, wire);
    }

    /** What it serves. */
    public Cluster cluster() {
        return cluster;
    }

    /** The version of the last change. */
    public long version() {
        return store.version();
    }

    /** Lists that were answered with items, or none. */
    public long lists() {
        return lists;
    }

    /** Watches that were begun. */
    public long watches() {
        return watches;
    }

    /** Watches that are open. */
    public int openWatches() {
        return feed.watches().size();
    }

    int chunkBytes() {
        return chunkBytes;
    }

    void withdraw(ApiCall call) {
        feed.remove(call);
        waiting.remove(call);
    }

    void take(ApiCall call) {
        if (silent) {
            waiting.add(call);
        } else if (delayNanos > 0) {
            clock.at(clock.now() + delayNanos, () -> answer(call));
        } else {
            answer(call);
        }
    }

    private void answer(ApiCall call) {
        if (call.isOver()) {
            return;
        }
        String about = Paths.about(call.query.path);
        String[] slices = Paths.slices(call.query.path);
        if (troubled > 0) {
            troubled--;
            call.tell(trouble);
        } else if (about != null) {
            call.tell(about);
        } else if (slices == null) {
            call.tell(Status.of(404, "NotFound", "the server could not find the requested resource"));
        } else {
            boolean watch = call.query.flag("watch");
            Status refused = refused(call, slices[0], watch ? "watch" : slices[1].isEmpty() ? "list" : "get");
            try {
                if (refused != null) {
                    call.tell(refused);
                } else if (watch) {
                    watch(call, slices[0], slices[1]);
                } else if (slices[1].isEmpty()) {
                    list(call, slices[0]);
                } else {
                    lister.get(call, slices[0], slices[1]);
                }
            } catch (IllegalArgumentException e) {
                call.tell(Status.badRequest(e.getMessage()));
            }
        }
    }

    private Status refused(ApiCall call, String namespace, String verb) {
        String authorization = call.request.headers().getOrDefault("authorization", "");
        if (!tokens.isEmpty()
                && !authorization.isEmpty()
                && !(authorization.startsWith("Bearer ") && tokens.contains(authorization.substring(7)))) {
            return Status.UNAUTHORIZED;
        }
        // Who shows no token is nobody, who may not do anything where tokens are asked for.
        if (forbids
                || !tokens.isEmpty() && authorization.isEmpty()
                || !call.request.method().equals("GET")) {
            return Status.forbidden(call.request.method().equals("GET") ? verb : "change", namespace);
        }
        return null;
    }

    private void list(ApiCall call, String namespace) {
        lists++;
        if (listCut < Long.MAX_VALUE) {
            call.connection.cutAfter(listCut, listCutResets);
            listCut = Long.MAX_VALUE;
        }
        lister.list(call, namespace);
    }

    private void watch(ApiCall call, String namespace, String name) {
        if (call.query.has("sendInitialEvents")) {
            call.tell(Status.invalid("sendInitialEvents: Forbidden: sendInitialEvents is forbidden for watch unless "
                    + "the WatchList feature gate is enabled"));
            return;
        }
        if (call.query.has("resourceVersionMatch")) {
            call.tell(Status.invalid("resourceVersionMatch: Forbidden: resourceVersionMatch is forbidden for watch "
                    + "unless sendInitialEvents is provided"));
            return;
        }
        String fields = name.isEmpty() ? call.query.text("fieldSelector") : "metadata.name=" + name;
        boolean ours = namespace.isEmpty() || namespace.equals(cluster.namespace());
        Selector selector = new Selector(
                call.query.text("labelSelector"),
                ours ? fields : "metadata.namespace=" + namespace,
                cluster.namespace());
        long since = call.query.number("resourceVersion");
        long seconds = call.query.number("timeoutSeconds");
        boolean gone = since > 0 && !store.knows(since);
        if (gone && goneAsAnswer) {
            call.tell(Status.tooOld(since, store.version()));
            return;
        }
        Watch watch = new Watch(this, call, selector, call.query.flag("allowWatchBookmarks"), store.version());
        if (armed != null) {
            watch.cut(armed, armedResets);
            armed = null;
        }
        watches++;
        call.stream();
        if (gone) {
            watch.fail(Status.tooOld(since, store.version()));
            return;
        }
        feed.add(watch);
        if (since <= 0) {
            store.at(store.version()).forEach(watch::tellAtStart);
        } else {
            store.since(since).forEach(watch::tellAtStart);
        }
        long lasts = seconds > 0 ? seconds * 1_000_000_000 : figures.watchNanos();
        clock.at(clock.now() + lasts, watch::end);
        clock.at(clock.now() + figures.bookmarkNanos(), () -> bookmark(watch));
    }

    private void bookmark(Watch watch) {
        if (!watch.call().isOver()) {
            watch.bookmark(feed.told(), false);
            clock.at(clock.now() + figures.bookmarkNanos(), () -> bookmark(watch));
        }
    }

    private List<ApiLink> open() {
        List<ApiLink> open = new ArrayList<>();
        links().forEach(link -> open.add((ApiLink) link));
        return open;
    }

    /** Takes these tokens and no others from now on; none at all lets everyone in. Open watches go on. */
    public void tokens(List<String> allowed) {
        tokens.clear();
        tokens.addAll(allowed);
    }

    /** Whether everything about slices is forbidden (403). */
    public void forbid(boolean all) {
        forbids = all;
    }

    /** Answers so many requests with a status from 400 on, and when to ask again in seconds, 0 for not told. */
    public void answerWith(int code, int times, int retryAfterSeconds) {
        trouble = Status.troubled(code, retryAfterSeconds);
        troubled = times;
    }

    /** Answers each request so much later from now on; watches begin later, their events are not late. */
    public void delay(long nanos) {
        delayNanos = nanos;
    }

    /** Answers no request from now on, or those that came meanwhile. */
    public void silence(boolean all) {
        silent = all;
        List<ApiCall> heard = new ArrayList<>(waiting);
        waiting.clear();
        heard.forEach(this::take);
    }

    /** The process dies: its connections are reset, new ones are refused. */
    public void down() {
        shutDown();
    }

    /** Takes connections again, at the address that it had. */
    public void up() {
        openUp();
    }

    /** Moves to another address: the old one refuses connections; those that are open go on. */
    public void move(String address) {
        moveTo(address);
    }

    /** Forgets all changes up to now, so that no watch can begin before them. */
    public void compact() {
        store.compact();
    }

    /** The same, and open watches are told that they are too old. */
    public void expire() {
        store.compact();
        feed.watches().forEach(watch -> watch.fail(Status.tooOld(store.version() - 1, store.version())));
    }

    /** Whether a watch from before the compaction is answered with status 410, and not with an event. */
    public void goneAsAnswer(boolean answer) {
        goneAsAnswer = answer;
    }

    /** Ends the watches as at the end of their time. */
    public void endWatches() {
        feed.watches().forEach(Watch::end);
    }

    /** Tells a bookmark, so many versions before the true one. */
    public void bookmark(long back) {
        feed.watches().forEach(watch -> watch.bookmark(back == 0 ? feed.told() : feed.told() - back, back > 0));
    }

    /** Lists tell of no slice, and watches of nothing more than before, or of what there is. */
    public void blank(boolean empty) {
        lister.blank(empty);
    }

    /** The longest chunk from now on. */
    public void chunks(int bytes) {
        chunkBytes = bytes;
    }

    /** Cuts off each open watch within its next event, or the next watch if there is none. */
    public void cutWatches(Cut where, boolean byReset) {
        List<Watch> open = feed.watches();
        open.forEach(watch -> watch.cut(where, byReset));
        armed = open.isEmpty() ? where : null;
        armedResets = byReset;
    }

    /** Cuts off each connection after so many more bytes. */
    public void cut(long bytes, boolean byReset) {
        open().forEach(link -> link.cutAfter(bytes, byReset));
    }

    /** Cuts off the next list after so many bytes of its answer. */
    public void cutList(long bytes, boolean byReset) {
        listCut = bytes;
        listCutResets = byReset;
    }

    /** Open connections say nothing more, or go on with what was held back. */
    public void stall(boolean stop) {
        open().forEach(link -> link.stall(stop));
    }

    /** Watches are told of so many changes twice. */
    public void duplicate(int changes) {
        feed.duplicate(changes);
    }

    /** So many pairs of changes that follow each other are told in the other order, unless of one object. */
    public void swap(int pairs) {
        feed.swap(pairs);
    }

    /** Watches are told of changes so much later from now on; lists are not late. */
    public void late(long nanos) {
        feed.late(nanos);
    }

    /** Watches are told something that is no event. */
    public void garble(Garbage what) {
        feed.watches().forEach(watch -> watch.write(what.bytes(chunkBytes)));
    }
}
