package slateseam.router.connections.servers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.router.connections.servers.Rig.Request;

/**
 * Guards the invariants under random orders of events: no use is lost, written twice or left waiting, and the limits
 * hold.
 */
class AnyOrderTest {
    @ParameterizedTest
    @CsvSource({"1, 83, 100", "2, 83, 1", "3, 4, 100", "4, 390, 100", "5, 390, 1", "6, 1, 4"})
    void noUseIsLostAndTheBoundsHold(long seed, int most, int streams) {
        SplittableRandom random = new SplittableRandom(seed);
        Rig rig = new Rig(most, streams);
        List<Pool> servers =
                IntStream.range(0, 12).mapToObj(i -> rig.server(i % 4 != 0)).collect(Collectors.toList());
        List<Request> all = new ArrayList<>();
        List<Request> open = new ArrayList<>();
        for (int step = 0; step < 30_000; step++) {
            Pool pool = servers.get(random.nextInt(servers.size()));
            List<Link> busy = rig.up.entrySet().stream()
                    .filter(e -> !e.getValue().isEmpty())
                    .map(e -> e.getKey())
                    .toList();
            switch (random.nextInt(40)) {
                case 0 -> rig.connections.ready(rig.now, pool, random.nextInt(4) > 0);
                case 1 -> rig.connections.closeIdle(rig.now, pool);
                case 2 -> any(random, busy, rig::breakOff);
                case 3 -> any(random, busy, rig::spoil);
                case 4 -> any(random, rig.comingUp, rig::refuse);
                case 5 -> any(random, List.copyOf(rig.up.keySet()), rig::noise);
                case 6 -> any(random, open, rig::giveUp);
                case 7 -> any(random, open, request -> rig.giveUp(request, true));
                case 8 -> any(random, all, request -> rig.connections.cut(rig.now, request));
                case 9, 10, 11, 12 -> rig.comeUp();
                case 13, 14, 15, 16, 17, 18, 19, 20, 21, 22 -> any(random, busy, rig::answer);
                case 23, 24 -> rig.pass(random.nextInt(20));
                default -> {
                    Request request = rig.ask(pool, 20 + random.nextInt(460), random.nextInt(5) > 0);
                    all.add(request);
                    open.add(request);
                }
            }
            rig.obey();
            open.removeIf(r -> r.served || r.why != null || r.isGivenUp());
            // The caller abandons uses whose deadline has passed.
            for (Request request : List.copyOf(open)) {
                if (request.endsAt <= rig.now) {
                    rig.giveUp(request);
                }
            }
            assertThat(rig.up.size() + rig.comingUp.size())
                    .isLessThanOrEqualTo(most)
                    .isEqualTo(rig.connections.figures().open());
            assertThat(rig.up.values().stream().mapToInt(List::size).max().orElse(0))
                    .isLessThanOrEqualTo(Math.min(streams, Pool.MAX_USES_PER_CONNECTION));
            for (Pool server : servers) {
                // Uses that wait while nothing is outstanding and no connection is opening would wait for ever.
                boolean moves = server.links.stream().anyMatch(link -> !link.uses.isEmpty() || !link.isOpen());
                boolean rests = server.links.stream().anyMatch(Link::isFree);
                assertThat(server.waiting() == 0
                                || moves
                                || rests
                                || rig.connections.figures().comingUp() > 0)
                        .as("step %d", step)
                        .isTrue();
            }
        }
        servers.forEach(server -> rig.connections.remove(rig.now, server));
        for (Link link : List.copyOf(rig.up.keySet())) {
            rig.breakOff(link);
        }
        rig.obey();
        assertThat(all).allMatch(r -> r.served || r.why != null || r.isGivenUp());
        assertThat(rig.connections.figures()).matches(f -> f.open() == 0 && f.comingUp() == 0 && f.waiting() == 0);
    }

    private static <T> void any(SplittableRandom random, List<T> from, java.util.function.Consumer<T> action) {
        if (!from.isEmpty()) {
            action.accept(from.get(random.nextInt(from.size())));
        }
    }
}
