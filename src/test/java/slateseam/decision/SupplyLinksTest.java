package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.PeerMessage;
import slateseam.decision.Api.Started;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TimerFired;

/** Tests which routers are linked, the messages on links, and the encoding of reminders. */
class SupplyLinksTest {
    private static final SupplyLinks ON = new SupplyLinks(true, 500 * MS);

    @Test
    void linksAreMutualAndGrowWithTheLogarithm() {
        for (int routers = 1; routers <= 300; routers++) {
            for (int me = 0; me < routers; me++) {
                var partners = ON.partners(me, routers);
                assertThat(partners).hasSizeLessThanOrEqualTo(2 * (32 - Integer.numberOfLeadingZeros(routers)));
                for (int partner : partners) {
                    int apart = Math.floorMod(partner - me, routers);
                    assertThat(apart).isBetween(2, routers - 2);
                    assertThat(ON.partners(partner, routers)).contains(me);
                }
            }
        }
        assertThat(ON.partners(0, 2_000)).hasSize(20);
        assertThat(SupplyLinks.OFF.partners(0, 2_000)).isEmpty();
    }

    private static List<TellPeer> messagesSent(SupplyLinks links, PeerMessage received) {
        Brain brain = new Brain(World.settings(0, 16, false, List.of()), 1, links);
        List<Action> actions = new ArrayList<>();
        long now = 1_000_000 * MS;
        brain.handle(now, new Started(), actions::add);
        actions.clear();
        if (received != null) {
            brain.handle(now, received, actions::add);
        }
        for (int i = 0; received == null && i < 2_000; i++) {
            now += 10 * MS;
            brain.handle(now, new TimerFired(1), actions::add);
        }
        return actions.stream()
                .filter(TellPeer.class::isInstance)
                .map(TellPeer.class::cast)
                .toList();
    }

    private static PeerMessage request(int from) {
        int[] none = new int[1];
        return new PeerMessage(
                from,
                new SupplyMessage(0, true, false, true, 5, 0, 1, 0, 40, none, none, none, new double[] {1}, Map.of())
                        .encode());
    }

    @Test
    void onlyARouterWithLinksAnswersAPartner() {
        assertThat(messagesSent(ON, request(4))).hasSize(1).allMatch(message -> message.to() == 4);
        assertThat(messagesSent(ON, request(5))).isEmpty();
        assertThat(messagesSent(SupplyLinks.OFF, request(4))).isEmpty();
        assertThat(messagesSent(SupplyLinks.OFF, request(1))).hasSize(1);
    }

    /**
     * Guards against frequent messages to partners that never answer, as in a tier of two builds or with dead
     * routers.
     */
    @Test
    void partnerThatNeverAnswersIsAskedRarely() {
        List<TellPeer> messagesSent = messagesSent(ON, null);
        // A message every 50 ms during the 0.25 s of its start, while the router waits for answers; then one every 4 s
        // of the 20 s.
        assertThat(messagesSent.stream().filter(message -> message.to() == 4)).hasSizeBetween(5, 12);
        assertThat(messagesSent(SupplyLinks.OFF, null)).allMatch(message -> message.to() == 1 || message.to() == 15);
    }

    @Test
    void messagesToPartnersCarryNoKeys() {
        for (TellPeer message : messagesSent(ON, request(4))) {
            assertThat(SupplyMessage.decode(message.payload(), List.of(1)).popular())
                    .isEmpty();
        }
    }

    @Test
    void remindersAreDecodedAndMalformedOnesRejected() {
        byte[] bytes = new SupplyReminder(7, new int[] {3, -4}).encode();
        SupplyReminder back = SupplyReminder.decode(bytes, 2);
        assertThat(back.receiverRun()).isEqualTo(7);
        assertThat(back.units()).containsExactly(3, -4);
        assertThat(SupplyReminder.decode(bytes, 1)).isNull();
        assertThat(SupplyReminder.decode(Arrays.copyOf(bytes, bytes.length - 1), 2))
                .isNull();
        assertThat(SupplyReminder.isReminder(new byte[0])).isFalse();
        // A build without links reads a reminder as a message of another version and ignores it.
        assertThat(SupplyMessage.decode(bytes, List.of(2))).isNull();
    }
}
