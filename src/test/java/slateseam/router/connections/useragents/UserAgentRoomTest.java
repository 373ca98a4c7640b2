package slateseam.router.connections.useragents;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UserAgentRoomTest {
    private static final long MILLI = Crowd.MILLI;
    private static final long SECOND = 1_000 * MILLI;

    /**
     * Guards against idle connections that are never used again blocking requests that need a new connection: user
     * agents hold 128 connections, and 300 new ones a second arrive, send one request and stay. User agents that
     * send further requests keep their connections. The mix is inverted in the middle of the run.
     */
    @Test
    void connectionsUsedOnceMakeRoomBesideThoseThatComeBack() {
        Crowd crowd = new Crowd(201, 128);
        int[] often = {0};
        int[] seldom = {0};
        crowd.once("a", 300, 10 * SECOND);
        for (int i = 0; i < 20; i++) {
            crowd.regular("a", 1, 100 * MILLI, 10 * SECOND, often, null);
            crowd.regular("a", 2, 5 * SECOND, 10 * SECOND, seldom, null);
        }
        crowd.runFor(10 * SECOND);
        assertThat(crowd.unreached).isEmpty();
        assertThat(often[0])
                .as("connections of 20 user agents that ask 70 times each")
                .isLessThan(40);
        int[] later = {0};
        for (int i = 0; i < 40; i++) {
            crowd.after(i * 10 * MILLI, () -> crowd.regular("b", 1, 100 * MILLI, 20 * SECOND, later, null));
        }
        crowd.once("b", 250, 20 * SECOND);
        crowd.runFor(10 * SECOND);
        assertThat(crowd.unreached).isEmpty();
        assertThat(later[0]).isLessThan(80);
    }

    /** Connections are not closed while there is room: 60 user agents that send a request every 5 s keep theirs. */
    @Test
    void whatHasRoomIsKept() {
        Crowd crowd = new Crowd(201, 128);
        int[] opened = {0};
        for (int i = 0; i < 60; i++) {
            crowd.regular("a", 1, 5 * SECOND, 60 * SECOND, opened, null);
        }
        crowd.runFor(60 * SECOND);
        assertThat(opened[0]).isEqualTo(60);
        assertThat(crowd.room.figures().ended().values()).containsOnly(0L);
    }

    /** 300 silent connections and 100 incomplete commands at a start, before and while user agents send requests. */
    @Test
    void silenceAndHalfCommandsAtAStartHoldNobodyUpForLong() {
        Crowd crowd = new Crowd(201, 400);
        for (int i = 0; i < 300; i++) {
            crowd.after(i * MILLI / 10, () -> crowd.open("rude"));
        }
        for (int i = 0; i < 100; i++) {
            crowd.after(i * MILLI / 10, () -> {
                Crowd.Link link = crowd.open("rude");
                if (link != null) {
                    crowd.room.enters(link.kept, Phase.HALF, crowd.now);
                }
            });
        }
        crowd.once("a", 300, 2 * SECOND);
        crowd.runFor(150 * MILLI);
        crowd.unreached.clear();
        crowd.runFor(2 * SECOND);
        assertThat(crowd.unreached).doesNotContainKey("a");
        assertThat(crowd.served).isGreaterThan(500);
    }

    /**
     * An address that opens as many connections as it can must not block a second address, nor take the connections
     * that the second one keeps.
     */
    @Test
    void onePlaceDoesNotCrowdOutAnother() {
        Crowd crowd = new Crowd(96, 1_000);
        int[] steady = {0};
        crowd.regular("steady", 1, 2 * SECOND, 30 * SECOND, steady, null);
        crowd.after(SECOND, () -> {
            for (int i = 0; i < 200; i++) {
                Crowd.Link link = crowd.open("greedy");
                if (link != null) {
                    crowd.room.enters(link.kept, Phase.BUSY, crowd.now); // the request is never answered
                }
            }
        });
        crowd.runFor(30 * SECOND);
        assertThat(crowd.unreached).containsOnlyKeys("greedy");
        assertThat(steady[0]).isEqualTo(1);
    }

    /** Only the tenant that holds more than an even share of the idle connections loses some. */
    @Test
    void anEvenPartOfTheRoomIsLeftToATenantThatAsksForLittle() {
        Crowd crowd = new Crowd(200, 120);
        int[] little = {0};
        int[] much = {0};
        for (int i = 0; i < 10; i++) {
            crowd.regular("a", 1, 4 * SECOND, 40 * SECOND, little, null);
        }
        for (int i = 0; i < 300; i++) {
            int late = i;
            crowd.after(late * 10 * MILLI, () -> crowd.regular("a", 2, 2 * SECOND, 40 * SECOND, much, null));
        }
        crowd.runFor(40 * SECOND);
        assertThat(little[0]).isEqualTo(10);
        assertThat(much[0]).isGreaterThan(300);
    }

    /** Under random orders of events, the limit of the table holds and the counters match the connections. */
    @ParameterizedTest
    @ValueSource(ints = {124, 585})
    void theTableIsNeverOverfull(int table) {
        Crowd crowd = new Crowd(table, 4 * table);
        Random random = new Random(table);
        List<Crowd.Link> mine = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            int what = random.nextInt(10);
            Crowd.Link link = mine.isEmpty() ? null : mine.get(random.nextInt(mine.size()));
            if (what < 5) {
                Crowd.Link opened = crowd.open("a" + random.nextInt(4));
                if (opened != null) {
                    mine.add(opened);
                }
            } else if (link != null && !link.closed && link.kept.phase() != Phase.ENDING) {
                Phase[] next = {Phase.HALF, Phase.BUSY, Phase.IDLE};
                crowd.room.enters(link.kept, next[random.nextInt(3)], crowd.now);
                crowd.room.asksFor(link.kept, random.nextInt(3));
            }
            if (what == 9) {
                crowd.runFor(random.nextInt(30) * MILLI);
            }
            mine.removeIf(l -> l.closed);
        }
        assertThat(crowd.mostOpen).isEqualTo(table);
        assertThat(crowd.room.open() + crowd.room.ending()).isEqualTo(crowd.links.size());
        assertThat(crowd.room.idle()).isEqualTo((int)
                crowd.links.stream().filter(l -> l.kept.isIdle()).count());
    }
}
