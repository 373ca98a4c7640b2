package slateseam.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import slateseam.tier.members.Members;
import slateseam.tier.policy.Policy;

/** What befalls datagrams of a scale run, and what is counted of them. */
class ImpairmentsTest {
    private static final byte MEMBERS = Members.firstByte();
    private static final byte POLICY = Policy.firstBytes()[0];
    private static final byte RING = 1;

    private final Impairments impairments = new Impairments();

    @Test
    void aCutPartsThoseBelowANumberFromTheOthers() {
        impairments.cut(10);
        assertThat(impairments.passes(3, 9, MEMBERS, 50)).isTrue();
        assertThat(impairments.passes(10, 11, MEMBERS, 50)).isTrue();
        assertThat(impairments.passes(9, 10, MEMBERS, 50)).isFalse();
        assertThat(impairments.passes(10, 9, MEMBERS, 50)).isFalse();
        impairments.cut(0);
        assertThat(impairments.passes(9, 10, MEMBERS, 50)).isTrue();
    }

    @Test
    void allOrNothingIsLost() {
        impairments.lose(1);
        assertThat(impairments.passes(1, 2, MEMBERS, 50)).isFalse();
        impairments.lose(0);
        assertThat(impairments.passes(1, 2, MEMBERS, 50)).isTrue();
    }

    /** What is lost was sent all the same, and has not come. */
    @Test
    void whatARealRouterSendsAndReceivesIsCountedByProtocol() {
        impairments.count(0);
        impairments.passes(0, 1, MEMBERS, 50);
        impairments.passes(1, 0, MEMBERS, 60);
        impairments.passes(0, 1, POLICY, 70);
        impairments.lose(1);
        impairments.passes(0, 1, RING, 80);
        impairments.passes(1, 0, RING, 90);
        Impairments.DatagramCounts counts = impairments.counts(0);
        assertThat(counts.bytes(true, Protocol.MEMBERS)).isEqualTo(50);
        assertThat(counts.bytes(false, Protocol.MEMBERS)).isEqualTo(60);
        assertThat(counts.bytes(true, Protocol.POLICY)).isEqualTo(70);
        assertThat(counts.bytes(true, Protocol.RING)).isEqualTo(80);
        assertThat(counts.datagrams(false, Protocol.RING)).isZero();
        assertThat(impairments.counts(1)).isNull();
    }

    @Test
    void aRouterIsKnownByItsAddress() {
        impairments.at(7, new InetSocketAddress("127.64.0.8", 4_000));
        assertThat(impairments.number(new InetSocketAddress("127.64.0.8", 4_000)))
                .isEqualTo(7);
        assertThat(impairments.number(new InetSocketAddress("127.64.0.8", 4_001)))
                .isEqualTo(-1);
    }

    @Test
    void delaysAreOneRoutersOwn() {
        impairments.delay(3, 5);
        assertThat(impairments.delayNanos(3)).isEqualTo(5);
        assertThat(impairments.delayNanos(4)).isZero();
        impairments.delay(3, 0);
        assertThat(impairments.delayNanos(3)).isZero();
    }
}
