package slateseam.router.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static slateseam.router.membership.Told.MS;
import static slateseam.router.membership.Told.row;
import static slateseam.router.membership.Told.slice;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.router.membership.MembershipSettings.Keys;
import slateseam.router.membership.MembershipSettings.Origin;
import slateseam.router.membership.MembershipSettings.Places;

class MembershipTest {
    private static final MembershipSettings USUAL = MembershipSettings.USUAL;

    private static MembershipSettings settings(
            Origin origin, boolean ipv6, boolean comparable, Places places, Keys keys) {
        return new MembershipSettings(origin, ipv6, comparable, places, keys, USUAL.guard(), USUAL.bounds());
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "?",
            value = {
                "?,?,?,true",
                "true,?,?,true",
                "true,true,false,true",
                "false,?,?,false",
                "false,true,?,false",
                "?,false,?,false",
                "true,false,false,false",
                "?,?,true,false",
                "true,true,true,false",
                "false,true,true,false",
                "false,false,true,false"
            })
    void conditionsComeToAState(Boolean ready, Boolean serving, Boolean terminating, boolean takesNew) {
        Endpoint endpoint =
                new Endpoint(List.of("10.0.0.1"), ready, serving, terminating, null, null, List.of(), "u", "p");
        Told told = new Told();
        told.listed(1, new Slice("a", "of-a", 1, false, 80, List.of(endpoint), Map.of(), Map.of()));
        assertThat(told.servers()).extracting(Server::ready).containsExactly(takesNew);
    }

    @Test
    void aServerInTwoSlicesThatUpdateOutOfOrderIsWhatTheNewerSays() {
        Told told = new Told().listed(10, slice("a", 5, "1 2"), slice("b", 6, "1 3"));
        assertThat(told.pods()).isEqualTo("1 2 3");
        told.changed("b", 14, "1x 3");
        assertThat(told.pods()).isEqualTo("1x 2 3");
        told.changed("a", 12, "1 2");
        assertThat(told.pods()).as("the older view comes late").isEqualTo("1x 2 3");
        told.changed("a", 15, "1 2");
        assertThat(told.pods()).as("the newer view says that it is back").isEqualTo("1 2 3");
    }

    @Test
    void whereVersionsCannotBeComparedOneThatDrainsInOneSliceDrains() {
        Told told = new Told(settings(USUAL.origin(), false, false, USUAL.places(), USUAL.keys()));
        told.listed(10, slice("a", 50, "1"), slice("b", 6, "1x"));
        assertThat(told.pods()).isEqualTo("1x");
        told.changed("b", 7, "1");
        assertThat(told.pods()).isEqualTo("1");
    }

    @Test
    void aDrainHoldsAfterItsSliceLeftAndALateViewTurnsUp() {
        Told told = new Told().listed(10, slice("a", 5, "1 2"));
        told.changed("a", 20, "1x 2").changed("a", 21, "2").after(1_000).servers();
        told.changed("b", 19, "1");
        assertThat(told.pods()).isEqualTo("1x 2");
        assertThat(told.membership.nextLook()).as("a list settles it").isEqualTo(told.now + 10_000 * MS);
        told.listed(30, slice("a", 21, "2"), slice("b", 19, "1"));
        assertThat(told.pods()).isEqualTo("1 2");
        assertThat(told.membership.nextLook()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aDrainToldBeforeItsServerIsKnownHolds() {
        Told told = new Told().listed(10, slice("a", 5, "1 2"));
        told.membership.deleted(slice("b", 14, "3x"), told.now);
        told.changed("c", 12, "3");
        assertThat(told.pods()).isEqualTo("1 2 3x");
        assertThat(told.changed("c", 15, "3").pods()).isEqualTo("1 2 3");
    }

    @Test
    void aServerThatMovesBetweenSlicesNeitherLeavesNorChanges() {
        for (boolean deleteFirst : new boolean[] {true, false}) {
            Told told = new Told().listed(10, slice("a", 5, "1 2"), slice("b", 6, "3 4 5 6 7"));
            List<Server> before = told.servers();
            Runnable add = () -> told.changed("b", deleteFirst ? 12 : 11, "1 3 4 5 6 7");
            Runnable drop = () -> told.changed("a", deleteFirst ? 11 : 12, "2");
            (deleteFirst ? drop : add).run();
            assertThat(told.after(150).servers()).isEqualTo(before);
            (deleteFirst ? add : drop).run();
            assertThat(told.after(5_000).servers()).isSameAs(before);
            assertThat(told.membership.nextChange()).isEqualTo(Long.MAX_VALUE);
            told.changed("b", 20, "3 4 5 6 7");
            assertThat(told.membership.nextChange()).isEqualTo(told.now + 200 * MS);
            assertThat(told.after(200).pods()).as("one that is nowhere is gone").isEqualTo("2 3 4 5 6 7");
        }
    }

    @Test
    void noEventFromBeforeADeletionBringsASliceBack() {
        Told told = new Told().listed(10, slice("a", 5, "1 2 3"), slice("b", 6, "4"));
        told.deleted("b", 20).after(300);
        told.changed("b", 19, "4").changed("c", 9, "9");
        assertThat(told.pods()).isEqualTo("1 2 3");
        told.membership.changed(
                new Slice("b", "another", 21, false, 6379, Told.endpoints("5"), Map.of(), Map.of()), told.now);
        told.deleted("b", 20);
        assertThat(told.after(300).pods())
                .as("made anew, and the old deletion told once more")
                .isEqualTo("1 2 3 5");
        told.changed("b", 19, "4").changed("a", 5, "1 2 3 4");
        assertThat(told.pods()).isEqualTo("1 2 3 5");
    }

    @Test
    void aListLosesWhatWasDeletedUnseenAndAnOlderListDoesNot() {
        Told told = new Told().listed(10, slice("a", 5, "1 2 3"), slice("b", 6, "4"));
        told.changed("c", 20, "5").changed("a", 21, "1x 2 3");
        told.listed(15, slice("a", 5, "1 2 3"), slice("b", 6, "4"));
        assertThat(told.after(300).pods()).isEqualTo("1x 2 3 4 5");
        assertThat(told.membership.version()).isEqualTo("21");
        assertThat(told.membership.notes()).extracting(Note::kind).containsExactly("farm-behind");
        told.listed(30, slice("a", 21, "1x 2 3"), slice("c", 20, "5"));
        assertThat(told.after(300).pods()).isEqualTo("1x 2 3 5");
        told.changed("b", 25, "4");
        assertThat(told.pods()).as("deleted before the list, told after it").isEqualTo("1x 2 3 5");
    }

    @Test
    void versionsCountAnewWhenTheApiStaysBehindOrIsAnotherOne() {
        Told told = new Told().listed(1_000, slice("a", 900, "1 2 3"));
        told.listed(500, slice("a", 400, "1 2 4"));
        assertThat(told.pods()).isEqualTo("1 2 3");
        assertThat(told.membership.nextLook()).isEqualTo(told.now + 60_000 * MS);
        told.after(60_000).listed(510, slice("a", 400, "1 2 4"));
        assertThat(told.after(300).pods()).isEqualTo("1 2 4");
        told.changed("a", 511, "1x 2 4");
        assertThat(told.pods()).isEqualTo("1x 2 4");
        told.membership.moved();
        assertThat(told.membership.version()).isNull();
        told.listed(7, slice("a", 3, "1 2 4"));
        assertThat(told.pods()).isEqualTo("1 2 4");
    }

    @Test
    void theSameEventTwiceAndABookmarkThatGoesBackChangeNothing() {
        Told told = new Told().listed(10, slice("a", 5, "1 2"));
        told.changed("a", 11, "1 2x");
        List<Server> list = told.servers();
        told.changed("a", 11, "1 2x").changed("a", 11, "1 2");
        told.membership.reached("12");
        told.membership.reached("11");
        assertThat(told.servers()).isSameAs(list);
        assertThat(told.membership.version()).isEqualTo("12");
    }

    @Test
    void aNewPodAtTheSameAddressIsANewColdServer() {
        Told told = new Told().listed(10, slice("a", 5, "1 2"));
        Endpoint second = Told.endpoint("2");
        Endpoint again =
                new Endpoint(second.addresses(), null, null, null, "zone-a", "node", List.of(), "uid-3", "pod-2");
        long first = told.now;
        told.after(500)
                .membership
                .changed(
                        new Slice("a", "of-a", 11, false, 6379, List.of(Told.endpoint("1"), again), Map.of(), Map.of()),
                        told.now);
        assertThat(told.server(3))
                .extracting(Server::address, Server::bornAtNanos)
                .containsExactly("10.0.0.2", told.now);
        assertThat(told.server(1).bornAtNanos()).as("of the first list").isZero();
        assertThat(first).isLessThan(told.now);
        told.after(300).changed("a", 12, "1 3 4-").after(5_000).changed("a", 13, "1 3 4");
        assertThat(told.server(4).bornAtNanos())
                .as("cold from when it is ready")
                .isEqualTo(told.now);
        long born = told.server(3).bornAtNanos();
        told.changed("a", 14, "1 4").after(1_000).servers();
        told.changed("b", 15, "3");
        assertThat(told.server(3).bornAtNanos()).as("back after it was gone").isEqualTo(born);
    }

    @Test
    void withoutAPodTheAddressTellsServersApart() {
        Endpoint bare = new Endpoint(List.of("10.9.9.9"), null, null, null, null, null, List.of(), null, null);
        Told told = new Told()
                .listed(
                        10,
                        slice("a", 5, "1 2"),
                        new Slice("b", "of-b", 6, false, 80, List.of(bare, bare), Map.of(), Map.of()));
        assertThat(told.servers()).extracting(Server::name).containsExactly("10.9.9.9", "uid-1", "uid-2");
        told.deleted("b", 11).after(300).servers();
        told.membership.changed(new Slice("b", "of-b2", 12, false, 80, List.of(bare), Map.of(), Map.of()), told.now);
        assertThat(told.servers().get(0).bornAtNanos())
                .as("it may be another process")
                .isEqualTo(told.now);
    }

    @Test
    void bothFamiliesAreOneServerWhoseAddressStaysDuringAMove() {
        Endpoint six = new Endpoint(List.of("fd00::1"), null, null, null, null, null, List.of(), "uid-1", "pod-1");
        Slice v6 = new Slice("six", "of-six", 6, true, 6379, List.of(six), Map.of(), Map.of());
        Told told = new Told().listed(10, slice("a", 5, "1 2"), v6);
        assertThat(told.servers()).extracting(Server::address).containsExactly("10.0.0.1", "10.0.0.2");
        told.changed("a", 11, "2").after(100);
        assertThat(told.server(1).address()).isEqualTo("10.0.0.1");
        told.changed("b", 12, "1").after(1_000);
        assertThat(told.server(1).address()).isEqualTo("10.0.0.1");
        told.changed("b", 13, "");
        assertThat(told.membership.nextChange()).isEqualTo(told.now + 200 * MS);
        assertThat(told.after(200).server(1).address()).isEqualTo("fd00::1");
        Told other = new Told(settings(USUAL.origin(), true, true, USUAL.places(), USUAL.keys()));
        other.listed(10, slice("a", 5, "1 2"), v6);
        assertThat(other.servers()).extracting(Server::address).containsExactly("fd00::1", "10.0.0.2");
    }

    @Test
    void placesKindsWeightsAndStartsAreRead() {
        Told told = new Told(settings(
                USUAL.origin(),
                false,
                true,
                new Places(Map.of("eu-1a", "manila"), Map.of("cebu-", "cebu", "cebu-old-", "davao")),
                new Keys("x/kind", "x/weight", "x/start")));
        List<Endpoint> endpoints = List.of(
                new Endpoint(List.of("10.0.0.1"), null, null, null, "eu-1a", null, List.of("eu-1b"), "1", null),
                new Endpoint(List.of("10.0.0.2"), null, null, null, null, "cebu-7", List.of("eu-1a"), "2", null),
                new Endpoint(List.of("10.0.0.3"), null, null, null, null, "cebu-old-7", List.of(), "3", null),
                new Endpoint(List.of("10.0.0.4"), null, null, null, "eu-1c", "cebu-7", List.of(), "4", null),
                new Endpoint(List.of("10.0.0.5"), null, null, null, null, "x", List.of("eu-1a", "eu-1c"), "5", null));
        told.listed(
                1,
                new Slice(
                        "a",
                        "of-a",
                        1,
                        false,
                        80,
                        endpoints,
                        Map.of("x/kind", "box", "x/weight", "0.5"),
                        Map.of("x/kind", "half", "x/start", "2026-01-02T03:04:05.5Z", "other", "x")));
        assertThat(told.servers()).extracting(Server::zone).containsExactly("manila", "manila", "davao", "eu-1c", "");
        assertThat(told.servers().get(0))
                .extracting(Server::kind, Server::weight, Server::bornAtNanos)
                .containsExactly("half", 0.5, 1_767_323_045_500L * MS);
        told.membership.changed(
                new Slice(
                        "a",
                        "of-a",
                        2,
                        false,
                        80,
                        endpoints.subList(0, 1),
                        Map.of("x/weight", "NaN", "x/start", "1767323045500"),
                        Map.of("x/kind", "k".repeat(257))),
                told.now);
        assertThat(told.servers().get(0))
                .extracting(Server::kind, Server::weight, Server::bornAtNanos)
                .containsExactly("", 1.0, 1_767_323_045_500L * MS);
    }

    @Test
    void theOriginIsASecondServiceOrAFixedAddress() {
        Told told = new Told(settings(new Origin("archive", null, 0), false, true, USUAL.places(), USUAL.keys()));
        told.listed(
                1,
                slice("a", 1, "1 2 3"),
                new Slice("o", "of-o", 1, false, 80, Told.endpoints("1"), Map.of(Keys.SERVICE, "archive"), Map.of()));
        assertThat(told.servers()).extracting(Server::origin, Server::port).contains(tuple(true, 80));
        told.deleted("o", 5).after(5_000);
        assertThat(told.servers()).as("the last origin is guarded for itself").anyMatch(Server::origin);
        assertThat(told.after(5_000).servers()).noneMatch(Server::origin);
        Told fixed = new Told(settings(new Origin(null, "10.1.1.1", 81), false, true, USUAL.places(), USUAL.keys()));
        assertThat(fixed.listed(1).servers())
                .extracting(Server::address, Server::port, Server::ready, Server::origin)
                .containsExactly(tuple("10.1.1.1", 81, true, true));
    }

    @Test
    void aSliceWithoutThePortTellsOnlyOfDrains() {
        Told told = new Told().listed(10, slice("a", 5, "1 2"));
        told.membership.changed(
                new Slice("b", "of-b", 11, false, null, Told.endpoints("1x 2 3"), Map.of(), Map.of()), told.now);
        assertThat(told.pods()).isEqualTo("1x 2");
        told.listed(
                12,
                slice("a", 5, "1 2"),
                new Slice("b", "of-b", 11, false, null, Told.endpoints("1x 2 3"), Map.of(), Map.of()));
        assertThat(told.pods()).isEqualTo("1x 2");
    }

    @Test
    void atEachBoundWhatIsKnownStaysTrue() {
        Told slices = new Told(Told.bounds(2, 100, 10, 256)).listed(10, slice("a", 5, "1 9"), slice("b", 6, "2"));
        slices.changed("c", 11, "1x 3").changed("d", 12, "4");
        assertThat(slices.pods()).isEqualTo("1x 2 9");
        assertThat(slices.membership.notes()).extracting(Note::kind).containsExactly("farm-bound");
        slices.deleted("b", 13);
        assertThat(slices.membership.nextLook()).as("there is room again").isZero();
        slices.listed(14, slice("a", 5, "1 9"), slice("c", 11, "1x 3"));
        assertThat(slices.after(300).pods()).isEqualTo("1x 3 9");

        Told servers = new Told(Told.bounds(10, 3, 10, 256)).listed(10, slice("a", 5, "1 2"), slice("b", 6, "3 4 5"));
        assertThat(servers.pods()).isEqualTo("1 2 3");
        servers.changed("a", 11, "2x 1").changed("a", 12, "2x");
        assertThat(servers.pods()).isEqualTo("1 2x 3");
        assertThat(servers.after(200).pods())
                .as("one that found no room comes in")
                .isEqualTo("2x 3 4");

        Told deleted = new Told(Told.bounds(10, 100, 1, 256)).listed(10, slice("a", 5, "1 6 7 8 9"));
        deleted.changed("b", 11, "2").deleted("b", 12).changed("c", 13, "3").deleted("c", 14);
        assertThat(deleted.after(300).changed("b", 11, "2").pods())
                .as("of a forgotten deletion")
                .isEqualTo("1 6 7 8 9");
        deleted.changed("d", 15, "4");
        assertThat(deleted.pods()).isEqualTo("1 4 6 7 8 9");

        Told text = new Told(Told.bounds(10, 100, 10, 8));
        text.listed(
                1,
                new Slice(
                        "a",
                        "of-a",
                        1,
                        false,
                        80,
                        List.of(
                                new Endpoint(
                                        List.of("10.0.0.1"),
                                        null,
                                        null,
                                        null,
                                        "z".repeat(9),
                                        "n",
                                        List.of(),
                                        "u",
                                        "é".repeat(5)),
                                new Endpoint(
                                        List.of("10.0.0.2"),
                                        null,
                                        null,
                                        null,
                                        null,
                                        null,
                                        List.of(),
                                        "u".repeat(9),
                                        null),
                                new Endpoint(List.of(), null, null, null, null, null, List.of(), "v", null)),
                        Map.of(),
                        Map.of()));
        assertThat(text.servers())
                .extracting(Server::name, Server::zone, Server::pod)
                .containsExactly(tuple("u", "", ""));
    }

    @Test
    void changesTellWhatDiffersSinceTheyWereAskedLast() {
        Told told = new Told().listed(1, slice("a", 1, row(1, 4)));
        assertThat(told.membership.changes(told.now).changed()).hasSize(3);
        told.changed("a", 2, "1x 2 4").changed("b", 3, "9").changed("b", 4, "").changed("a", 5, "1x 2 4");
        told.after(200);
        Membership.Changes changes = told.membership.changes(told.now);
        assertThat(changes.changed()).extracting(Server::name).containsExactlyInAnyOrder("uid-1", "uid-4");
        assertThat(changes.gone()).extracting(Server::name).containsExactly("uid-3");
        told.changed("a", 6, "1 2 4").changed("a", 7, "1x 2 4");
        assertThat(told.membership.changes(told.now)).isEqualTo(new Membership.Changes(List.of(), List.of()));
    }
}
