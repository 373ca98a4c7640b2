package slateseam.router.net;

/**
 * Counts the bytes of the heap that messages take: long messages that are being received, and answers that wait for
 * their user agents. Each limit is a fraction of the heap, so that neither slow readers nor long messages can exhaust
 * it.
 */
public final class MessageMemory {
    /** The limits are given in sixteenths of the heap. */
    private static final int PARTS = 16;
    /** Limit for messages that are being received. */
    private static final int INPUT_PARTS = 4;
    /** Limit for input that is read ahead: half of the input is left to messages that are waited for. */
    private static final int AHEAD_PARTS = 2;
    /** Answers beyond this are a reason to buffer less of each. */
    private static final int SHORT_PARTS = 2;
    /** Limit for answers that must wait, and for long ones that had to be collected. */
    private static final int WAITING_PARTS = 3;
    /** Limit for all answers, those included that go out at once. */
    private static final int ANSWER_PARTS = 5;
    /** Limit for input and answers together, beyond which neither further input is taken nor answers that must wait. */
    private static final int TOTAL_PARTS = 7;

    private final long heapBytes;
    /** The part of the heap that the limits are fractions of. */
    private int divisor = 1;

    private long input;
    private long answers;

    MessageMemory(long heapBytes) {
        this.heapBytes = heapBytes;
    }

    /** Sets whether another process of this router shares the memory of the machine, so that the limits are halved. */
    public void setShared(boolean shared) {
        divisor = shared ? 2 : 1;
    }

    /** Counts bytes of messages being received in, or with a negative number out; returns whether there is room. */
    boolean reserveInput(int bytes) {
        return reserveInput(bytes, INPUT_PARTS);
    }

    /** Does the same for what is read although nobody takes it yet. */
    boolean reserveAhead(int bytes) {
        return reserveInput(bytes, AHEAD_PARTS);
    }

    private boolean reserveInput(int bytes, int parts) {
        boolean room = bytes <= 0 || input + bytes <= limit(parts) && input + answers + bytes <= limit(TOTAL_PARTS);
        input += room ? bytes : 0;
        return room;
    }

    /** Returns whether an answer may be held that has to wait, or that is long. */
    public boolean hasRoomToWait(long bytes) {
        return answers + bytes <= limit(WAITING_PARTS) && input + answers + bytes <= limit(TOTAL_PARTS);
    }

    /** Returns whether an answer may be taken that goes out at once, as far as the operating system takes it. */
    public boolean hasRoom(long bytes) {
        return answers + bytes <= limit(ANSWER_PARTS);
    }

    /** Counts bytes of answers in, or with a negative number out; the caller has asked whether there is room. */
    public void countAnswers(long bytes) {
        answers += bytes;
    }

    /** Returns whether answers take so much that less of each should be buffered. */
    public boolean isShort() {
        return answers > limit(SHORT_PARTS);
    }

    /** Returns the bytes of messages that are being received, as far as they are counted. */
    public long inputBytes() {
        return input;
    }

    /** Returns the bytes of answers that user agents have not taken yet. */
    public long answerBytes() {
        return answers;
    }

    private long limit(int parts) {
        return heapBytes / divisor / PARTS * parts;
    }
}
