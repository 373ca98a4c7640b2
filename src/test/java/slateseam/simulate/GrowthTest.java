package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What control costs a router does not grow with the number of routers, and bugs by which it would are found. */
class GrowthTest {
    private static final String CHECK = "slateseam.simulate.tier.Growth";
    private static final String MEMBERS = "brokenMembers";
    private static final String POLICY = "brokenPolicy";

    /** Bugs that are planted in copies of the program. */
    private enum Bug {
        HEARTBEATS_GO_TO_ALL(
                MEMBERS,
                "MEMBERS_DATAGRAMS",
                "tier/members/Members",
                "to.forEach(id -> heartbeat(roster.find(id)));",
                "roster.all().forEach(this::heartbeat);"),
        EACH_MEMBER_IS_KEPT_WITH_ALL_OTHERS(
                MEMBERS,
                "MEMBERS_STATE",
                "tier/members/Members",
                "            roster.forget(now);\n",
                "            roster.forget(now);\n            roster.all().forEach(member -> roster.all().forEach(other -> member.ears.put(other.id,"
                        + " new Member.Heard(Message.Ear.UNSURE, 0))));\n"),
        A_SUSPICION_IS_TOLD_TO_ALL(
                MEMBERS,
                "DEATH_DATAGRAMS",
                "tier/members/Watch",
                "        List<Member> over = new ArrayList<>();\n",
                "        List<Member> over = new ArrayList<>();\n        roster.all().stream().filter(one -> one.state == State.SUSPECT).forEach(one ->"
                        + " roster.all().forEach(other -> tell.accept(other, new Verdict(one.id, one.life, one.incarnation, Ear.SILENT))));\n"),
        ALL_LEARNERS_ASK_THE_LEADER(
                POLICY,
                "POLICY_MOST_DATAGRAMS",
                "tier/policy/Tree",
                "return rank < BRANCHES * above.size()",
                "if (leader >= 0) return leader;\n                return rank < BRANCHES * above.size()");

        private final String check;
        private final String found;
        private final PlantedBug planted;

        Bug(String check, String found, String file, String text, String instead) {
            this.check = check;
            this.found = found;
            this.planted = new PlantedBug(name(), null, null, List.of(PlantedBug.change(file, text, instead)));
        }
    }

    @Test
    void membershipCostsAsMuchInATierFourTimesAsLarge() throws ReflectiveOperationException {
        assertThat(new Planted(null).call(CHECK, MEMBERS, 1, 1)).isEmpty();
    }

    @Test
    void aSharedPolicyCostsAsMuchInATierFourTimesAsLarge() throws ReflectiveOperationException {
        assertThat(new Planted(null).call(CHECK, POLICY, 1, 1)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource
    void growthIsFound(Bug bug) throws ReflectiveOperationException {
        assertThat(new Planted(bug.planted).call(CHECK, bug.check, 1, 1).lines().map(line -> line.split(" ")[0]))
                .contains(bug.found);
    }
}
