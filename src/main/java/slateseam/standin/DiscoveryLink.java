package slateseam.standin;

/** A router's connection to discovery's agent: one call at a time. */
final class DiscoveryLink extends Link {
    private static final String PATH = "/api/targets";
    private static final int MOST_DIGITS = 18;

    private final DiscoveryAgent agent;
    private final int moves;
    private final HttpReader reader = new HttpReader(inbox);

    DiscoveryLink(DiscoveryAgent agent, Wire wire, int moves) {
        super(agent, wire, 1);
        this.agent = agent;
        this.moves = moves;
    }

    @Override
    protected Exchange next() throws UnreadableException {
        HttpReader.Request request = reader.next();
        if (request == null) {
            return null;
        }
        String[] parts = request.path().split("\\?", 2);
        if (!request.method().equals("GET") || !parts[0].equals(PATH)) {
            throw new UnreadableException("not the list");
        }
        long index = -1;
        long wait = 0;
        for (String pair : parts.length == 1 ? new String[0] : parts[1].split("&")) {
            String[] words = pair.split("=", 2);
            if (words.length != 2 || words[1].length() > MOST_DIGITS || !words[1].matches("[0-9]+")) {
                throw new UnreadableException("not a name and a number");
            }
            index = words[0].equals("index") ? Long.parseLong(words[1]) : index;
            wait = words[0].equals("wait") ? Long.parseLong(words[1]) : wait;
        }
        return new DiscoveryCall(agent, this, index, wait, request.closes());
    }

    @Override
    protected void begin(Exchange exchange) {
        if (exchange instanceof DiscoveryCall call) {
            agent.take(call, moves);
        }
    }

    @Override
    protected byte[] unreadable() {
        return Answers.http(400, "Connection: close\r\n", "not a call\n");
    }
}
