package slateseam.router.useragent;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.net.Bytes;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;

/** The dialect of the platform's commands, in which each command is an exchange of its own. */
public final class Commands implements Dialect {
    private final Requests requests;
    private final Lifecycle lifecycle;

    /** Creates the dialect; the lifecycle tells whether PING is answered with PONG. */
    public Commands(Requests requests, Lifecycle lifecycle) {
        this.requests = requests;
        this.lifecycle = lifecycle;
    }

    @Override
    public Exchange exchange(Exchange.Pipeline pipeline) {
        return new SingleCommand(pipeline);
    }

    /** Returns the name of a command in upper case. */
    public static String name(List<ByteBuffer> command) {
        return Bytes.text(command.get(0)).toUpperCase(Locale.ROOT);
    }

    private final class SingleCommand extends Exchange {
        private final Requests.Open asked = new Requests.Open() {
            @Override
            protected Answer answered(Answer answer) {
                if (answer instanceof Answer.Streamed streamed) {
                    finish(streamed.value(), Replies.head(streamed.value().length()));
                    return answer;
                }
                boolean fits = !(answer instanceof Answer.Served served) || reserve(served.value().length);
                Answer given = fits ? answer : new Answer.Failed();
                finish(Replies.of(given));
                return given;
            }

            @Override
            protected boolean streams() {
                return true;
            }

            @Override
            protected boolean isPresent() {
                return isUserAgentPresent();
            }
        };

        SingleCommand(Pipeline pipeline) {
            super(pipeline);
        }

        @Override
        public void take(List<ByteBuffer> command) {
            String name = name(command);
            boolean write = name.equals("CACHE.SET");
            ByteBuffer[] immediateReply = write || name.equals("CACHE.GET")
                    ? requests.take(command, write, asked)
                    : Replies.other(name, lifecycle.answersPing());
            if (immediateReply != null) {
                finish(immediateReply);
            }
        }

        @Override
        public int tenant() {
            return asked.tenant();
        }

        @Override
        public long waitNanos() {
            return asked.waitNanos();
        }

        @Override
        public void withdraw() {
            requests.withdraw(asked, Ending.LEFT);
        }
    }
}
