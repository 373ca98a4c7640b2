package slateseam.simulate.check;

import java.util.HashMap;
import java.util.Map;

/** A router from one of its starts to its end, as the wires show it. */
final class RouterState {
    final RouterAddresses place;
    final Told told;
    /** By id; those that have ended too, as an attempt for one of them is a breach. */
    final Map<String, Asked> asked = new HashMap<>();
    /** Bytes of requests that are open, and of what came from servers and was not yet passed on. */
    long heldBytes;

    int descriptors;
    /** Whether it has held too many bytes already. */
    boolean overfull;
    /** Killed outright: what it had taken is void, and nothing that happens on its wires is its doing. */
    boolean dead;
    /** Whether it was told to end. */
    boolean ending;
    /** It stands still, or has just begun to go on: until then its answers may be late. */
    long standsUntil = Long.MIN_VALUE;

    /** Requests that it turned away since its last attempt of one, and since when. */
    int turnedAway;

    long turnsAwaySince;

    RouterState(RouterAddresses place, Told told) {
        this.place = place;
        this.told = told;
    }

    /** The router has read a request; one with the id of an open one is owed no more than an error. */
    void read(Asked request, long now) {
        request.read = true;
        request.readAt = now;
        Asked before = asked.get(request.id);
        if (before != null && before.isOpen()) {
            before.second = request;
            request.end(Asked.State.VOID, now);
        } else {
            asked.put(request.id, request);
            if (request.isOpen()) {
                hold(request, request.bytes);
            }
        }
    }

    /** The request of an id to which an attempt belongs; null if there never was one. */
    Asked attempted(String id) {
        Asked request = asked.get(id);
        if (request != null && request.state == Asked.State.ANSWERED && request.second != null) {
            // The first was answered before the router came to the second, which it so took after all.
            request = request.second;
            request.state = Asked.State.OPEN;
            asked.put(id, request);
        }
        return request;
    }

    /** Counts bytes that are held for a request while it is open. */
    void hold(Asked request, long bytes) {
        request.heldBytes += bytes;
        heldBytes += bytes;
    }

    /** Ends a request, if it is open. */
    void end(Asked request, Asked.State how, long now) {
        if (request.isOpen()) {
            request.end(how, now);
            heldBytes -= request.heldBytes;
            request.heldBytes = 0;
        }
    }

    String name() {
        return place.router();
    }
}
