package slateseam.router.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the limits on what messages take of the heap; a sixteenth of it is 1,000 bytes here. */
class MessageMemoryTest {
    private final MessageMemory memory = new MessageMemory(16_000);

    @Test
    void inputHasAQuarterAndHalfOfThatWhileNobodyTakesIt() {
        assertThat(memory.reserveAhead(2_000)).isTrue();
        assertThat(memory.reserveAhead(1)).isFalse();
        assertThat(memory.reserveInput(2_000)).isTrue();
        assertThat(memory.reserveInput(1)).isFalse();
        memory.reserveInput(-1);
        assertThat(memory.reserveInput(1)).isTrue();
        assertThat(memory.inputBytes()).isEqualTo(4_000);
    }

    @Test
    void answersThatWaitHaveThreeSixteenthsAndThoseThatGoOutAtOnceFive() {
        assertThat(memory.hasRoomToWait(3_000)).isTrue();
        assertThat(memory.hasRoomToWait(3_001)).isFalse();
        memory.countAnswers(3_000);
        assertThat(memory.hasRoomToWait(1)).isFalse();
        assertThat(memory.hasRoom(2_000)).isTrue();
        assertThat(memory.hasRoom(2_001)).isFalse();
        memory.countAnswers(-3_000);
        assertThat(memory.answerBytes()).isZero();
    }

    @Test
    void answersBeyondAnEighthAreAReasonToBufferLess() {
        memory.countAnswers(2_000);
        assertThat(memory.isShort()).isFalse();
        memory.countAnswers(1);
        assertThat(memory.isShort()).isTrue();
    }

    @Test
    void inputAndAnswersThatWaitHaveSevenSixteenthsTogether() {
        memory.countAnswers(4_000);
        assertThat(memory.reserveInput(3_000)).isTrue();
        assertThat(memory.reserveInput(1)).isFalse();
        memory.countAnswers(-2_500);
        assertThat(memory.reserveInput(1_000)).isTrue();
        assertThat(memory.hasRoomToWait(1_500)).isTrue();
        assertThat(memory.hasRoomToWait(1_501)).isFalse();
    }

    /** Two processes of one router, in an upgrade, have the memory of one. */
    @Test
    void allLimitsAreHalvedWhileTheMemoryIsShared() {
        memory.setShared(true);
        assertThat(memory.reserveInput(2_001)).isFalse();
        assertThat(memory.hasRoom(2_501)).isFalse();
        memory.setShared(false);
        assertThat(memory.reserveInput(2_001)).isTrue();
        assertThat(memory.hasRoom(2_501)).isTrue();
    }
}
