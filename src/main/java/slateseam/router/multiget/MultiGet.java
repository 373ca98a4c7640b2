package slateseam.router.multiget;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.Bytes;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;
import slateseam.router.useragent.Commands;
import slateseam.router.useragent.Dialect;
import slateseam.router.useragent.Exchange;
import slateseam.router.useragent.Replies;
import slateseam.router.useragent.Requests;

/**
 * The dialect for batches: {@code SLATE.MGET N} followed by N reads. Each read is routed on its own, and a single
 * reply returns all N results in the order of the reads.
 */
public final class MultiGet implements Dialect {
    /** The number of items in the command that begins a batch: its name and the number of reads. */
    private static final int HEADER_ITEMS = 2;

    private final Loop loop;
    private final Requests requests;
    private final Lifecycle lifecycle;
    private final int maxKeys;
    private final long maxHeldBytes;
    private final Answer busy;
    private long heldBytes;

    /**
     * Creates the dialect.
     *
     * @param maxKeys the maximum number of reads in a batch
     * @param retryAfterNanos the advised wait before a retry, for a read whose value did not fit into the bound below
     * @param maxHeldBytes the maximum size of the values that all batches together hold until their replies are
     *     complete
     */
    public MultiGet(
            Loop loop, Requests requests, Lifecycle lifecycle, int maxKeys, long retryAfterNanos, long maxHeldBytes) {
        this.loop = loop;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.maxKeys = maxKeys;
        this.maxHeldBytes = maxHeldBytes;
        this.busy = new Answer.Unavailable(retryAfterNanos);
    }

    @Override
    public Exchange exchange(Exchange.Pipeline pipeline) {
        return new Batch(pipeline);
    }

    private final class Batch extends Exchange {
        private final List<Element> elements = new ArrayList<>();
        private int expected;
        private int settledElements;
        private long held;

        Batch(Pipeline pipeline) {
            super(pipeline);
        }

        @Override
        public void take(List<ByteBuffer> command) throws MalformedException {
            if (!isWhole()) {
                Element element = new Element(this);
                elements.add(element);
                element.submit(command);
                return;
            }
            String name = Commands.name(command);
            if (!name.equals("SLATE.MGET")) {
                finish(
                        name.startsWith("CACHE.")
                                ? Replies.line("-ERR only behind SLATE.MGET")
                                : Replies.other(name, lifecycle.answersPing()));
                return;
            }
            expected = number(command);
            if (expected == 0) {
                finish(Replies.line("-ERR no keys"));
            }
        }

        /** Reads the batch size. An invalid size is a protocol error, as the end of the batch would be unknown. */
        private int number(List<ByteBuffer> command) throws MalformedException {
            int number = command.size() == HEADER_ITEMS ? Bytes.number(Bytes.text(command.get(1))) : -1;
            if (number < 0 || number > maxKeys) {
                throw new MalformedException("SLATE.MGET takes one number, at most " + maxKeys);
            }
            return number;
        }

        @Override
        public boolean isWhole() {
            return elements.size() == expected;
        }

        @Override
        public int tenant() {
            return elements.isEmpty() ? -1 : elements.get(0).tenant();
        }

        @Override
        public int commands() {
            return 1 + expected;
        }

        @Override
        public void withdraw() {
            elements.forEach(Element::withdraw);
            handedOver();
        }

        @Override
        public void handedOver() {
            heldBytes -= held;
            held = 0;
        }

        /**
         * Holds a value until its batch is complete, or refuses it if values that wait for slow reads would fill the
         * heap.
         */
        Answer hold(Answer answer) {
            int bytes = answer instanceof Answer.Served served ? served.value().length : 0;
            if (heldBytes + bytes > maxHeldBytes || !reserve(bytes)) {
                return busy;
            }
            heldBytes += bytes;
            held += bytes;
            return answer;
        }

        boolean isPresent() {
            return isUserAgentPresent();
        }

        void elementSettled() {
            if (++settledElements < expected) {
                return;
            }
            boolean allServed = elements.stream().allMatch(e -> e.served);
            List<ByteBuffer> reply = new ArrayList<>();
            reply.add(ByteBuffer.wrap(
                    Bytes.of("*" + (expected + 1) + "\r\n" + (allServed ? "$5\r\nwhole\r\n" : "$7\r\npartial\r\n"))));
            elements.forEach(e -> reply.addAll(List.of(e.answer)));
            finish(reply.toArray(new ByteBuffer[0]));
        }
    }

    /** One read of a batch. */
    private final class Element extends Requests.Open {
        private final Batch batch;
        private ByteBuffer[] answer;
        private boolean served;
        private Deadline timer;

        Element(Batch batch) {
            this.batch = batch;
        }

        void submit(List<ByteBuffer> command) {
            ByteBuffer[] error = Commands.name(command).equals("CACHE.GET")
                    ? requests.take(command, false, this)
                    : Replies.line("-ERR not a CACHE.GET");
            if (error != null) {
                settle(error);
            } else if (answer == null) {
                timer = loop.after(waitNanos(), this::timedOut);
            }
        }

        @Override
        protected Answer answered(Answer given) {
            Answer kept = batch.hold(given);
            served = kept instanceof Answer.Served;
            settle(Replies.of(kept));
            return kept;
        }

        @Override
        protected boolean isPresent() {
            return batch.isPresent();
        }

        /**
         * Withdraws this read from the core when its deadline passes, as the user agent still waits for the rest of
         * the batch.
         */
        private void timedOut() {
            requests.withdraw(this, Ending.TIMEOUT);
            settle(Replies.line("-TIMEOUT"));
        }

        void withdraw() {
            loop.cancel(timer);
            requests.withdraw(this, Ending.LEFT);
        }

        private void settle(ByteBuffer... bytes) {
            loop.cancel(timer);
            answer = bytes;
            batch.elementSettled();
        }
    }
}
